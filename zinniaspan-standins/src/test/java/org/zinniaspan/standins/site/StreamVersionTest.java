package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.zinniaspan.standins.fleet.LocalFleet;

/** Streams must not hold events of two software versions of a service. */
@Timeout(60)
class StreamVersionTest {

  @TempDir Path logs;

  private final SiteClient client = new SiteClient("stream", "key-1");
  private LocalSite site;
  private EndpointStandIn old;

  @BeforeEach
  void start() throws IOException {
    site = new LocalSite(logs);
    site.publishConfiguration(List.of("key-1"));
    old = site.addEndpoint("old-1", "zone-a", "v1", 1);
  }

  @AfterEach
  void stop() {
    site.close();
  }

  private LocalSite.DaemonProcess startDaemon(String name, String zone) throws IOException {
    LocalSite.DaemonProcess daemon =
        site.startDaemon(name, zone, LocalSite.LaunchOptions.smallVm());
    LocalSite.awaitReady(daemon);
    return daemon;
  }

  private static void awaitMetric(LocalSite.DaemonProcess daemon, String line) {
    LocalFleet.await(
        daemon.name() + ": " + line,
        () -> LocalFleet.get(daemon.metricsAddress(), "/metrics").body().contains(line));
  }

  private SiteClient.RawResponse resume(
      LocalSite.DaemonProcess daemon, SiteClient.RawResponse broken) throws IOException {
    return client.call(
        daemon.callerAddress(),
        "POST",
        "/chat/x",
        "Last-Event-Id: 3\r\nResumes: " + broken.attemptId() + "\r\n");
  }

  @Nested
  class BrokenByTheirEndpoint {

    @Test
    void areNotJoinedWithAnotherVersionByTheVm() throws IOException {
      final EndpointStandIn other = site.addEndpoint("new-1", "zone-b", "v2", 1);
      old.setFault(EndpointStandIn.Fault.CUT);
      LocalSite.DaemonProcess daemon = startDaemon("vm-1", "zone-a");
      String text = client.call(daemon.callerAddress(), "POST", "/chat/x", "").text();
      assertThat(text).contains("id: 3");
      assertThat(text).doesNotContain(" v2");
      assertThat(other.executions()).isEmpty();
    }

    @Test
    void areResumedByTheVmAtTheirVersion() throws IOException {
      // The VM prefers the nearest zones: that of old-1, then that of new-1.
      site.addEndpoint("new-1", "zone-c", "v2", 1);
      site.addEndpoint("old-2", "zone-b", "v1", 1);
      old.setFault(EndpointStandIn.Fault.CUT);
      LocalSite.DaemonProcess daemon = startDaemon("vm-1", "zone-a");
      SiteClient.RawResponse response = client.call(daemon.callerAddress(), "POST", "/chat/x", "");
      assertThat(response.isCompleteSuccess()).isTrue();
      assertThat(response.text()).doesNotContain(" v2");
    }
  }

  @Nested
  class ResumedByTheirClient {

    private LocalSite.DaemonProcess first;
    private LocalSite.DaemonProcess second;
    private SiteClient.RawResponse broken;

    /** Breaks a stream of v1 at one VM while v2 is not listed yet. */
    @BeforeEach
    void breakStream() throws IOException {
      first = startDaemon("vm-1", "zone-a");
      second = startDaemon("vm-2", "zone-b");
      awaitMetric(second, "zinniaspan_fleet_vms 2.0");
      old.setFault(EndpointStandIn.Fault.CUT);
      broken = client.call(first.callerAddress(), "POST", "/chat/x", "");
      assertThat(broken.text()).contains("id: 3");
      assertThat(broken.isCompleteSuccess()).isFalse();
      old.setFault(EndpointStandIn.Fault.NONE);
      site.addEndpoint("new-1", "zone-b", "v2", 1);
      awaitMetric(first, "zinniaspan_endpoints 2.0");
      awaitMetric(second, "zinniaspan_endpoints 2.0");
    }

    @Test
    void goOnAtTheirVersionAtTheSameVm() throws IOException {
      SiteClient.RawResponse rest = resume(first, broken);
      assertThat(rest.text()).contains("-4 v1");
      assertThat(rest.isCompleteSuccess()).isTrue();
    }

    @Test
    void goOnAtTheirVersionAtAnotherVm() throws IOException {
      SiteClient.RawResponse rest = resume(second, broken);
      assertThat(rest.text()).contains("-4 v1");
      assertThat(rest.isCompleteSuccess()).isTrue();
    }

    @Test
    void areRefusedWhenTheirVersionIsGone() throws IOException {
      site.store().delete("servers/old-1");
      awaitMetric(second, "zinniaspan_endpoints 1.0");
      SiteClient.RawResponse rest = resume(second, broken);
      assertThat(rest.status()).isEqualTo(503);
      assertThat(rest.text()).contains("Retry-After: ");
    }

    @Test
    void areRefusedWhenTheirVersionIsUnknown() throws IOException {
      SiteClient.RawResponse rest =
          resume(second, new SiteClient.RawResponse("never-sent", broken.text()));
      assertThat(rest.status()).isEqualTo(503);
    }
  }
}
