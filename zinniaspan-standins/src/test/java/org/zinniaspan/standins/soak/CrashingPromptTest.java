package org.zinniaspan.standins.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.standins.fleet.LocalFleet;
import org.zinniaspan.standins.site.LocalSite;
import org.zinniaspan.standins.site.SiteClient;

/** Prompts with a part that crashes endpoints must not be sent to one endpoint after the other. */
@Timeout(90)
class CrashingPromptTest {

  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private static final int ENDPOINTS = 12;
  private static final int ROUNDS = 24;
  private static final long DOWN_MS = 1_500;

  /** Number of crashes after which no more than a few are allowed. */
  private static final int ALLOWED_CRASHES = 5;

  /** Time after these crashes from which they count, in milliseconds. */
  private static final long CONTACT_MS = 3_000;

  /** Number of crashes that are allowed from then on. */
  private static final int ALLOWED_LATE = 3;

  private static final long DURATION_MS = 8_000;

  @TempDir Path logs;

  private final Closer closer = new Closer();
  private final SiteClient client = new SiteClient("call", "key-1");
  private final List<LocalSite.DaemonProcess> daemons = new ArrayList<>();
  private LocalSite site;
  private int promptCount;

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
    site.endpoints().values().forEach(e -> e.setCrashingPart(Optional.of("dead"), DOWN_MS));
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  private static void awaitMetric(LocalSite.DaemonProcess daemon, String line) {
    LocalFleet.await(
        line, () -> LocalFleet.get(daemon.metricsAddress(), "/metrics").body().contains(line));
  }

  /** Sends a prompt of some parts and one of its own. */
  private SiteClient.RawResponse call(LocalSite.DaemonProcess daemon, String... parts)
      throws IOException {
    promptCount++;
    String prompt = String.join(":100,", parts) + ":100,own" + promptCount + ":20";
    return client.call(
        daemon.callerAddress(),
        "POST",
        "/chat/x",
        "X-Zinniaspan-Token-Usage: 320,30\r\nX-Zinniaspan-Prefix-Hash: " + prompt + "\r\n");
  }

  private boolean isSoundServed(LocalSite.DaemonProcess daemon) {
    try {
      return call(daemon, "common", "subject").isCompleteSuccess();
    } catch (IOException e) {
      return false;
    }
  }

  private int crashes() {
    return site.endpoints().values().stream().mapToInt(endpoint -> endpoint.crashes()).sum();
  }

  @Test
  void areRefusedOnceTheyHaveCrashedEndpoints() throws IOException {
    List<Long> crashedMs = new ArrayList<>();
    int late = 0;
    long startMs = System.currentTimeMillis();
    for (int round = 0; System.currentTimeMillis() < startMs + DURATION_MS; round++) {
      long sentMs = System.currentTimeMillis();
      int before = crashes();
      call(daemons.get(round % daemons.size()), "common", "subject", "dead");
      int caused = crashes() - before;
      if (crashedMs.size() >= ALLOWED_CRASHES
          && sentMs > crashedMs.get(ALLOWED_CRASHES - 1) + CONTACT_MS) {
        late += caused;
      }
      crashedMs.addAll(Collections.nCopies(caused, System.currentTimeMillis()));
      for (LocalSite.DaemonProcess daemon : daemons) {
        call(daemon, "common", "other" + round);
      }
    }
    assertWithMessage("of %s crashes", crashedMs.size()).that(late).isAtMost(ALLOWED_LATE);
    SiteClient.RawResponse refusal = call(daemons.get(0), "common", "subject", "dead");
    assertThat(refusal.status()).isEqualTo(503);
    assertThat(refusal.text()).contains("Retry-After: ");
  }

  @Test
  void leaveSoundPromptsWithTheSameOtherPartsServed() throws IOException {
    for (int round = 0; round < ROUNDS; round++) {
      call(daemons.get(round % daemons.size()), "common", "subject", "dead");
      call(daemons.get(round % daemons.size()), "common", "subject");
    }
    for (LocalSite.DaemonProcess daemon : daemons) {
      LocalFleet.await("crashed endpoints are back", () -> isSoundServed(daemon));
    }
    int before = crashes();
    List<String> unserved = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      call(daemons.get(round % daemons.size()), "common", "subject", "dead");
      SiteClient.RawResponse sound = call(daemons.get(round % 2), "common", "subject");
      if (!sound.isCompleteSuccess()) {
        unserved.add("round " + round + ", after " + crashes() + " crashes: " + sound);
      }
    }
    assertThat(crashes() - before).isAtMost(ALLOWED_LATE);
    assertThat(unserved).isEmpty();
  }
}
