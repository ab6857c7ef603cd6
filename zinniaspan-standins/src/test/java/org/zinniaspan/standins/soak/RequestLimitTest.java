package org.zinniaspan.standins.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.standins.fleet.LocalFleet;
import org.zinniaspan.standins.site.EndpointStandIn;
import org.zinniaspan.standins.site.LocalSite;
import org.zinniaspan.standins.site.SiteClient;

/** All VMs together must keep to the number of requests a second that an endpoint states. */
@Timeout(90)
class RequestLimitTest {

  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private static final int ENDPOINTS = 4;
  private static final double PER_SECOND = 2;

  /** Time from the first statement until the limit has to be kept, in milliseconds. */
  private static final long CONTACT_MS = 3_000;

  private static final long WINDOW_MS = 4_000;

  /** Number of requests that may arrive in a window. */
  private static final int ALLOWED = (int) (1.5 * PER_SECOND * WINDOW_MS / 1_000) + 5;

  private static final long DURATION_MS = 12_000;

  @TempDir Path logs;

  private final Closer closer = new Closer();
  private final SiteClient client = new SiteClient("call", "key-1");
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<LocalSite.DaemonProcess> daemons = new ArrayList<>();
  private LocalSite site;

  @BeforeEach
  void start() throws IOException {
    site = closer.add(new LocalSite(logs));
    for (int number = 1; number <= ENDPOINTS; number++) {
      site.addEndpoint("i-" + number, ZONES.get(number % ZONES.size()), 5);
    }
    site.publishConfiguration(List.of("key-1"));
    for (String zone : ZONES) {
      daemons.add(site.startDaemon("vm-" + zone, zone, LocalSite.LaunchOptions.smallVm()));
    }
    for (LocalSite.DaemonProcess daemon : daemons) {
      LocalSite.awaitReady(daemon);
      awaitMetric(daemon, "zinniaspan_fleet_vms 3.0");
      awaitMetric(daemon, "zinniaspan_endpoints " + ENDPOINTS + ".0");
    }
  }

  @AfterEach
  void stop() {
    threads.shutdownNow();
    closer.close();
  }

  private static void awaitMetric(LocalSite.DaemonProcess daemon, String line) {
    LocalFleet.await(
        line, () -> LocalFleet.get(daemon.metricsAddress(), "/metrics").body().contains(line));
  }

  private EndpointStandIn endpoint(int number) {
    return site.endpoints().get("i-" + number);
  }

  /** Calls all daemons at once for a time, each without a pause, and returns the responses. */
  private List<SiteClient.RawResponse> callAll(long forMs) throws Exception {
    long endMs = System.currentTimeMillis() + forMs;
    List<Future<List<SiteClient.RawResponse>>> results = new ArrayList<>();
    for (LocalSite.DaemonProcess daemon : daemons) {
      results.add(threads.submit(() -> callUntil(daemon, endMs)));
    }
    List<SiteClient.RawResponse> responses = new ArrayList<>();
    for (Future<List<SiteClient.RawResponse>> result : results) {
      responses.addAll(result.get());
    }
    return responses;
  }

  private List<SiteClient.RawResponse> callUntil(LocalSite.DaemonProcess daemon, long endMs)
      throws IOException {
    return callUntil(daemon, "GET", "/safe/x", endMs);
  }

  private List<SiteClient.RawResponse> callUntil(
      LocalSite.DaemonProcess daemon, String method, String path, long endMs) throws IOException {
    List<SiteClient.RawResponse> responses = new ArrayList<>();
    while (System.currentTimeMillis() < endMs) {
      responses.add(client.call(daemon.callerAddress(), method, path, ""));
    }
    return responses;
  }

  private static long served(Future<List<SiteClient.RawResponse>> responses) throws Exception {
    return responses.get().stream().filter(SiteClient.RawResponse::isCompleteSuccess).count();
  }

  private static int mostInWindow(EndpointStandIn endpoint, long afterMs) {
    return endpoint.mostArrivals(WINDOW_MS, afterMs);
  }

  @Test
  void isKeptWhileOtherEndpointsServeTheRest() throws Exception {
    endpoint(1).setRequestLimit(Optional.of(PER_SECOND));
    long startMs = System.currentTimeMillis();
    List<SiteClient.RawResponse> responses = callAll(DURATION_MS);
    assertThat(mostInWindow(endpoint(1), startMs + CONTACT_MS)).isAtMost(ALLOWED);
    assertThat(responses.stream().filter(r -> !r.isCompleteSuccess()).toList()).isEmpty();
  }

  @Test
  void isKeptAndUsedIfAllEndpointsStateOne() throws Exception {
    site.endpoints().values().forEach(e -> e.setRequestLimit(Optional.of(PER_SECOND)));
    long startMs = System.currentTimeMillis();
    List<SiteClient.RawResponse> responses = callAll(DURATION_MS);
    for (EndpointStandIn endpoint : site.endpoints().values()) {
      assertWithMessage(endpoint.id())
          .that(mostInWindow(endpoint, startMs + CONTACT_MS))
          .isAtMost(ALLOWED);
    }
    long served = responses.stream().filter(SiteClient.RawResponse::isCompleteSuccess).count();
    assertThat(served).isAtLeast((long) (ENDPOINTS * PER_SECOND * DURATION_MS / 1_000 / 2));
    responses.stream()
        .filter(response -> !response.isCompleteSuccess())
        .forEach(response -> assertThat(response.text()).contains("Retry-After: "));
  }

  @Test
  void leavesTheRequestsThatItAllowsToTheMostUrgent() throws Exception {
    site.endpoints().values().forEach(e -> e.setRequestLimit(Optional.of(PER_SECOND)));
    callAll(CONTACT_MS);
    LocalSite.DaemonProcess daemon = daemons.get(0);
    long endMs = System.currentTimeMillis() + DURATION_MS;
    Future<List<SiteClient.RawResponse>> lessUrgent =
        threads.submit(() -> callUntil(daemon, "POST", "/unsafe/x", endMs));
    Future<List<SiteClient.RawResponse>> urgent =
        threads.submit(() -> callUntil(daemon, "POST", "/chat/x", endMs));
    assertThat(served(urgent)).isAtLeast(2 * served(lessUrgent));
  }

  @Test
  void endsOnceTheEndpointStatesNoneAnyMore() throws Exception {
    endpoint(1).setRequestLimit(Optional.of(PER_SECOND));
    callAll(CONTACT_MS);
    endpoint(1).setRequestLimit(Optional.empty());
    callAll(CONTACT_MS);
    int before = endpoint(1).arrivalsMs().size();
    callAll(CONTACT_MS);
    assertThat(endpoint(1).arrivalsMs().size() - before)
        .isAtLeast((int) (3 * PER_SECOND * CONTACT_MS / 1_000));
  }
}
