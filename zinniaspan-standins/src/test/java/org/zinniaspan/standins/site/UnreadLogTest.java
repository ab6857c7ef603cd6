package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.zinniaspan.standins.fleet.LocalFleet;

/**
 * Guards against a daemon that blocks on its log output: if nobody reads the pipe behind it, the
 * daemon drops log lines instead of delaying requests or its planned stop.
 */
@Timeout(60)
class UnreadLogTest {

  /**
   * Each call fails and writes 700 bytes to the log; together they fill a pipe of 64 KB and the log
   * buffer.
   */
  private static final int CALL_COUNT = 1_500;

  @TempDir Path directory;

  @Test
  void blocksNoRequestAndNoPlannedStop() throws Exception {
    try (LocalSite site = new LocalSite(directory)) {
      site.addEndpoint("i-1", "zone-a", 0);
      site.publishConfiguration(List.of("key-1"));
      LocalSite.LaunchOptions unread =
          new LocalSite.LaunchOptions(
              LocalFleet.ENTRY_JVM_FLAGS,
              LocalSite.LaunchOptions.smallVm().classPath(),
              Optional.of(ProcessBuilder.Redirect.PIPE));
      LocalSite.DaemonProcess daemon = site.startDaemon("vm-1", "zone-a", unread);
      LocalSite.awaitReady(daemon);
      SiteClient client = new SiteClient("u", "key-1");
      site.endpoints().get("i-1").setFault(EndpointStandIn.Fault.ERROR);
      for (int i = 0; i < CALL_COUNT; i++) {
        assertThat(client.call(daemon.callerAddress(), "POST", "/unsafe/x", "").status())
            .isEqualTo(500);
      }
      String metrics = LocalFleet.get(daemon.metricsAddress(), "/metrics").body();
      assertThat(metrics).containsMatch("zinniaspan_log_lines_dropped [1-9]");
      daemon.process().terminate();
      assertThat(daemon.process().awaitExit(10)).isTrue();
    }
  }
}
