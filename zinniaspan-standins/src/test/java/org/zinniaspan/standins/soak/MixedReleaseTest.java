package org.zinniaspan.standins.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.standins.fleet.LocalFleet;
import org.zinniaspan.standins.site.EndpointRoom;
import org.zinniaspan.standins.site.EndpointStandIn;
import org.zinniaspan.standins.site.LocalSite;
import org.zinniaspan.standins.site.SiteClient;

/**
 * Daemons of the previous release and of this one serve side by side while VMs are replaced one
 * after the other. {@code bin/previous-release} builds the former.
 */
@Timeout(120)
class MixedReleaseTest {

  private static final Path PREVIOUS = Path.of("../target/previous-release");
  private static final List<String> ZONES = List.of("zone-a", "zone-b");
  private static final int VMS = 4;
  private static final int CALLS = 30;

  /** Log events that show that a message was not understood, or a fault of the program. */
  private static final List<String> FAULTS =
      List.of(
          "peer-request-unreadable",
          "peer-reply-unreadable",
          "connection-fault",
          "timer-fault",
          "reactor-error");

  @TempDir Path logs;

  private final Closer closer = new Closer();
  private final SiteClient client = new SiteClient("call", "key-1");
  private final List<LocalSite.DaemonProcess> daemons = new ArrayList<>();
  private LocalSite site;
  private int startCount;

  @BeforeEach
  void start() throws IOException {
    assertWithMessage("built by bin/previous-release").that(Files.exists(PREVIOUS)).isTrue();
    site = closer.add(new LocalSite(logs));
    for (int number = 1; number <= 8; number++) {
      site.addEndpoint("i-" + number, ZONES.get(number % ZONES.size()), 5);
    }
    site.publishConfiguration(List.of("key-1"));
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  private static LocalSite.LaunchOptions previousRelease() {
    return new LocalSite.LaunchOptions(
        LocalFleet.ENTRY_JVM_FLAGS,
        PREVIOUS.resolve("zinniaspan-0.1.0-SNAPSHOT.jar") + ":" + PREVIOUS.resolve("lib/*"),
        Optional.empty());
  }

  private LocalSite.DaemonProcess startDaemon(int number, LocalSite.LaunchOptions release)
      throws IOException {
    startCount++;
    LocalSite.DaemonProcess daemon =
        site.startDaemon(
            "vm-" + number + "-" + startCount, ZONES.get(number % ZONES.size()), release);
    LocalSite.awaitReady(daemon);
    return daemon;
  }

  /** Starts VMs, the first ones of the previous release. */
  private void startAll(int previous) throws IOException {
    for (int number = 0; number < VMS; number++) {
      daemons.add(
          startDaemon(
              number, number < previous ? previousRelease() : LocalSite.LaunchOptions.smallVm()));
    }
    daemons.forEach(daemon -> awaitMetric(daemon, "zinniaspan_fleet_vms " + VMS + ".0"));
  }

  private static void awaitMetric(LocalSite.DaemonProcess daemon, String line) {
    LocalFleet.await(
        line + " at " + daemon.name(),
        () -> LocalFleet.get(daemon.metricsAddress(), "/metrics").body().contains(line));
  }

  private SiteClient.RawResponse chat(LocalSite.DaemonProcess daemon, String parts)
      throws IOException {
    return client.call(
        daemon.callerAddress(),
        "POST",
        "/chat/x",
        "X-Zinniaspan-Token-Usage: 320,30\r\nX-Zinniaspan-Prefix-Hash: " + parts + "\r\n");
  }

  private void assertAllServe() throws IOException {
    for (int i = 0; i < CALLS; i++) {
      for (LocalSite.DaemonProcess daemon : daemons) {
        assertThat(chat(daemon, "common:200,own" + i + ":20").isCompleteSuccess()).isTrue();
        assertThat(client.call(daemon.callerAddress(), "POST", "/unsafe/x", "").isCompleteSuccess())
            .isTrue();
      }
    }
  }

  private void assertNoFaults() throws IOException {
    for (LocalSite.DaemonProcess daemon : daemons) {
      for (String line : Files.readAllLines(daemon.logFile())) {
        assertWithMessage(daemon.name() + " " + line)
            .that(FAULTS.stream().noneMatch(fault -> line.contains('"' + fault + '"')))
            .isTrue();
      }
    }
  }

  @Test
  void serveWithoutFaultsWhileVmsAreReplaced() throws IOException {
    startAll(VMS);
    for (int number = 0; number < VMS; number++) {
      assertAllServe();
      assertNoFaults();
      LocalSite.DaemonProcess replaced = daemons.get(number);
      replaced.process().terminate();
      assertThat(replaced.process().awaitExit(10)).isTrue();
      daemons.set(number, startDaemon(number, LocalSite.LaunchOptions.smallVm()));
    }
    assertAllServe();
  }

  @Test
  void understandEachOthersObservations() throws IOException {
    startAll(2);
    EndpointStandIn limited = site.endpoints().get("i-1");
    limited.setRequestLimit(Optional.of(2.0));
    site.endpoints().get("i-2").setRoom(Optional.of(new EndpointRoom(32, 32, 5)), 1_500);
    site.endpoints().values().forEach(e -> e.setCrashingPart(Optional.of("dead"), 1_500));
    for (int i = 0; i < 3; i++) {
      for (LocalSite.DaemonProcess daemon : daemons.subList(2, VMS)) {
        chat(daemon, "common:200,dead:50,own" + i + ":20");
      }
    }
    for (LocalSite.DaemonProcess daemon : daemons.subList(2, VMS)) {
      LocalFleet.await(
          "quarantine at " + daemon.name(),
          () -> {
            try {
              return chat(daemon, "common:200,dead:50,own:20").text().contains("quarantined");
            } catch (IOException e) {
              return false;
            }
          });
    }
    site.endpoints().values().forEach(e -> e.setCrashingPart(Optional.empty(), 0));
    daemons.forEach(
        daemon ->
            LocalFleet.await(
                "service at " + daemon.name(),
                () -> {
                  try {
                    return chat(daemon, "common:200,own:20").isCompleteSuccess();
                  } catch (IOException e) {
                    return false;
                  }
                }));
    assertAllServe();
    assertNoFaults();
  }
}
