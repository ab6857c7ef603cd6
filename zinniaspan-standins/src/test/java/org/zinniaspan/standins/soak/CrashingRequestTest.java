package org.zinniaspan.standins.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
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

/** A request that crashes each endpoint that runs it must not be sent to one after the other. */
@Timeout(90)
class CrashingRequestTest {

  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private static final int ENDPOINTS = 4;
  private static final int ROUNDS = 30;
  private static final long DOWN_MS = 700;
  private static final long NANOS_PER_MS = 1_000_000;

  /** Time between two rounds of requests, in milliseconds. */
  private static final long ROUND_MS = 250;

  /** Number of crashes after which a request may reach endpoints only a few times. */
  private static final int KNOWN_CRASHES = 3;

  /** Time after the last of these crashes from which requests count, in milliseconds. */
  private static final long CONTACT_MS = 3_000;

  /** Number of requests that may reach endpoints from then on. */
  private static final int ALLOWED_LATE = 3;

  @TempDir Path logs;

  private final Closer closer = new Closer();
  private final SiteClient client = new SiteClient("call", "key-1");
  private final List<LocalSite.DaemonProcess> daemons = new ArrayList<>();
  private LocalSite site;

  @BeforeEach
  void start() throws IOException {
    site = closer.add(new LocalSite(logs));
    for (int number = 1; number <= ENDPOINTS; number++) {
      site.addEndpoint("i-" + number, ZONES.get(number % ZONES.size()), 20);
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
    site.endpoints().values().forEach(e -> e.setCrashingPath(Optional.of("/dead"), DOWN_MS));
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  private static void awaitMetric(LocalSite.DaemonProcess daemon, String line) {
    LocalFleet.await(
        line, () -> LocalFleet.get(daemon.metricsAddress(), "/metrics").body().contains(line));
  }

  private int crashes() {
    return site.endpoints().values().stream().mapToInt(EndpointStandIn::crashes).sum();
  }

  private SiteClient.RawResponse call(int daemon, String method, String path, String fields)
      throws IOException {
    return client.call(daemons.get(daemon % daemons.size()).callerAddress(), method, path, fields);
  }

  /**
   * Sends a crashing request at one VM after the other, and a sound one after it, and checks the
   * crashes.
   *
   * @return the responses to the sound requests of the last third of the rounds
   */
  private List<SiteClient.RawResponse> repeat(
      String method, String path, String fields, String soundPath) throws IOException {
    List<SiteClient.RawResponse> sound = new ArrayList<>();
    long knownMs = Long.MAX_VALUE;
    int late = 0;
    for (int round = 0; round < ROUNDS; round++) {
      int before = crashes();
      long sentMs = System.currentTimeMillis();
      call(round, method, path, fields);
      if (sentMs - CONTACT_MS > knownMs) {
        late += crashes() - before;
      }
      if (crashes() >= KNOWN_CRASHES) {
        knownMs = Math.min(knownMs, System.currentTimeMillis());
      }
      SiteClient.RawResponse response = call(round + 1, method, soundPath, fields);
      if (round >= ROUNDS * 2 / 3) {
        sound.add(response);
      }
      LockSupport.parkNanos(ROUND_MS * NANOS_PER_MS);
    }
    assertWithMessage("requests that reached endpoints late, of %s crashes", crashes())
        .that(late)
        .isAtMost(ALLOWED_LATE);
    return sound;
  }

  private static void assertServed(List<SiteClient.RawResponse> responses) {
    assertThat(responses.stream().filter(r -> !r.isCompleteSuccess()).toList()).isEmpty();
  }

  @Test
  void isRefusedIfItIsPlainAndMayBeRepeated() throws IOException {
    assertServed(repeat("GET", "/safe/dead", "", "/safe/often"));
    SiteClient.RawResponse refusal = call(0, "GET", "/safe/dead", "");
    assertThat(refusal.status()).isEqualTo(503);
    assertThat(refusal.text()).contains("Retry-After: ");
  }

  @Test
  void isRefusedIfItIsPlainAndMayRunOnce() throws IOException {
    assertServed(repeat("POST", "/unsafe/dead", "", "/unsafe/often"));
  }

  @Test
  void isRefusedIfItHasPromptThatSoundOnesShare() throws IOException {
    String prompt =
        "X-Zinniaspan-Token-Usage: 320,30\r\nX-Zinniaspan-Prefix-Hash: common:200,last:120\r\n";
    assertServed(repeat("POST", "/chat/dead", prompt, "/chat/often"));
  }

  @Test
  void leavesOtherCallersRequestsToTheSamePathServed() throws IOException {
    site.publishConfiguration(List.of("key-1", "key-2"));
    repeat("GET", "/safe/dead", "", "/safe/often");
    int before = crashes();
    SiteClient other = new SiteClient("other", "key-2");
    LocalFleet.await(
        "a request of another caller is sent",
        () -> {
          try {
            other.call(daemons.get(0).callerAddress(), "GET", "/safe/dead", "");
          } catch (IOException e) {
            return false;
          }
          return crashes() > before;
        });
  }
}
