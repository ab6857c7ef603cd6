package org.zinniaspan.standins.soak;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.standins.fleet.LocalFleet;
import org.zinniaspan.standins.site.EndpointRoom;
import org.zinniaspan.standins.site.EndpointStandIn;
import org.zinniaspan.standins.site.LocalSite;
import org.zinniaspan.standins.site.SiteClient;

/**
 * More requests than endpoints can take must not make those fail that state how many rejections
 * they can bear.
 */
@Timeout(120)
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RejectionLimitTest {

  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private static final int VMS = 12;
  private static final int CLIENTS_PER_VM = 5;
  private static final int ENDPOINTS = 6;
  private static final int SLOTS = 4;
  private static final int QUEUE = 8;
  private static final int REJECTIONS_PER_SECOND = 3;
  private static final long WORK_MS = 100;
  private static final long DOWN_MS = 2_000;

  /** Number of failures that are allowed: 2 and a tenth of the endpoints. */
  private static final int ALLOWED = 2 + ENDPOINTS / 10;

  /** Time from the first statement until endpoints let fewer requests wait, in milliseconds. */
  private static final long CONTACT_MS = 3_000;

  private static final long DURATION_MS = 10_000;

  /** Share of what the endpoints could take that is served. */
  private static final double MIN_SERVED_SHARE = 0.4;

  private static final Pattern RETRY_AFTER = Pattern.compile("Retry-After: ([0-9.]+)");
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MAX_CLIENT_PAUSE_S = 0.5;

  private final Closer closer = new Closer();
  private final SiteClient client = new SiteClient("call", "key-1");
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<LocalSite.DaemonProcess> daemons = new ArrayList<>();
  private final List<EndpointRoom> rooms = new ArrayList<>();
  private LocalSite site;
  private int served;

  private void start(Path logs) throws IOException {
    site = closer.add(new LocalSite(logs));
    site.setSlots(SLOTS);
    for (int number = 1; number <= ENDPOINTS; number++) {
      site.addEndpoint("i-" + number, ZONES.get(number % ZONES.size()), WORK_MS);
    }
    site.publishConfiguration(List.of("key-1"));
    for (int number = 0; number < VMS; number++) {
      String zone = ZONES.get(number % ZONES.size());
      daemons.add(site.startDaemon("vm-" + number, zone, LocalSite.LaunchOptions.smallVm()));
    }
    for (LocalSite.DaemonProcess daemon : daemons) {
      LocalSite.awaitReady(daemon);
      awaitMetric(daemon, "zinniaspan_endpoints " + ENDPOINTS + ".0");
      awaitMetric(daemon, "zinniaspan_fleet_vms " + VMS + ".0");
    }
  }

  @AfterAll
  void stop() {
    threads.shutdownNow();
    closer.close();
  }

  private static void awaitMetric(LocalSite.DaemonProcess daemon, String line) {
    LocalFleet.await(
        line, () -> LocalFleet.get(daemon.metricsAddress(), "/metrics").body().contains(line));
  }

  private void stateLimits() {
    for (EndpointStandIn endpoint : site.endpoints().values()) {
      EndpointRoom room = new EndpointRoom(SLOTS, QUEUE, REJECTIONS_PER_SECOND);
      rooms.add(room);
      endpoint.setRoom(Optional.of(room), DOWN_MS);
    }
  }

  /** Calls all daemons by several clients each for a time, and returns the number of successes. */
  private int callAll(long forMs) throws Exception {
    long endMs = System.currentTimeMillis() + forMs;
    List<Future<Integer>> results = new ArrayList<>();
    for (LocalSite.DaemonProcess daemon : daemons) {
      for (int number = 0; number < CLIENTS_PER_VM; number++) {
        results.add(threads.submit(() -> callUntil(daemon, endMs)));
      }
    }
    int served = 0;
    for (Future<Integer> result : results) {
      served += result.get(forMs + 20_000, TimeUnit.MILLISECONDS);
    }
    return served;
  }

  private int callUntil(LocalSite.DaemonProcess daemon, long endMs) throws IOException {
    int served = 0;
    while (System.currentTimeMillis() < endMs) {
      SiteClient.RawResponse response = client.call(daemon.callerAddress(), "GET", "/safe/x", "");
      if (response.isCompleteSuccess()) {
        served++;
      } else {
        followRetryAfter(response);
      }
    }
    return served;
  }

  private static void followRetryAfter(SiteClient.RawResponse response) {
    Matcher matcher = RETRY_AFTER.matcher(response.text());
    double seconds = matcher.find() ? Double.parseDouble(matcher.group(1)) : 0;
    LockSupport.parkNanos((long) (Math.min(MAX_CLIENT_PAUSE_S, seconds) * NANOS_PER_SECOND));
  }

  private int failures() {
    return site.endpoints().values().stream().mapToInt(EndpointStandIn::crashes).sum();
  }

  @BeforeAll
  void overload(@TempDir Path logs) throws Exception {
    start(logs);
    stateLimits();
    callAll(CONTACT_MS);
    rooms.forEach(room -> room.setQueue(0));
    served = callAll(DURATION_MS);
  }

  @Test
  void isKeptWhileClientsAskForMoreThanEndpointsTake() {
    assertWithMessage("failures, with %s requests served", served)
        .that(failures())
        .isAtMost(ALLOWED);
  }

  @Test
  void leavesFortyPercentOfTheSlotsInUse() {
    double capacity = (double) ENDPOINTS * SLOTS * DURATION_MS / WORK_MS;
    assertWithMessage("requests served")
        .that((double) served)
        .isAtLeast(MIN_SERVED_SHARE * capacity);
  }
}
