package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A planned stop of a forwarding daemon completes a running stream and logs no warning. */
@Timeout(60)
class ForwardDaemonPlannedStopTest {

  /** Repeats the stop, as a fault at its end depends on timing and may not show in each one. */
  private static final int STOP_COUNT = 6;

  @TempDir Path directory;

  @Test
  void finishesRunningRequestsAndLogsNoWarning() throws Exception {
    try (LocalSite site = new LocalSite(directory)) {
      site.addEndpoint("i-1", "zone-a", 60);
      site.publishConfiguration(List.of("key-1"));
      for (int i = 0; i < STOP_COUNT; i++) {
        LocalSite.DaemonProcess daemon =
            site.startDaemon("vm-" + i, "zone-a", LocalSite.LaunchOptions.smallVm());
        LocalSite.awaitReady(daemon);
        SiteClient siteClient = new SiteClient("s" + i, "key-1");
        String attemptId = siteClient.nextAttemptId();
        try (RawClient connection = new RawClient(daemon.callerAddress())) {
          connection.send(siteClient.formatRequest(attemptId, "POST", "/chat/x", ""));
          connection.readUntil("id: 1");
          daemon.process().terminate();
          assertThat(connection.readAll()).endsWith("\r\n0\r\n\r\n");
        }
        assertThat(daemon.process().awaitExit(10)).isTrue();
        String log = Files.readString(daemon.logFile());
        assertThat(log).contains("\"event\":\"stopped\"");
        assertThat(log).doesNotContain("WARN");
      }
    }
  }
}
