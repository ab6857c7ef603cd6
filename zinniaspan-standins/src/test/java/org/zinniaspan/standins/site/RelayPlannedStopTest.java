package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.zinniaspan.standins.fleet.LocalFleet;

/** The planned stop of a VM through which another one relays requests. */
@Timeout(60)
class RelayPlannedStopTest {

  @TempDir Path logs;

  @Test
  void answersRelayedRequestsAtItsEnd() throws Exception {
    try (LocalSite site = new LocalSite(logs)) {
      EndpointStandIn endpoint = site.addEndpoint("i-1", "zone-a", 1);
      endpoint.setFault(EndpointStandIn.Fault.HANG);
      site.publishConfiguration(List.of("key-1"));
      LocalSite.DaemonProcess daemon =
          site.startDaemon("vm-1", "zone-a", LocalSite.LaunchOptions.smallVm());
      LocalSite.awaitReady(daemon);
      SiteClient client = new SiteClient("relayed", "key-1");
      try (RawClient relayingVm = new RawClient(daemon.peerAddress())) {
        relayingVm.send(
            client.formatRequest(
                client.nextAttemptId(), "POST", "/chat/x", "Zinniaspan-Relay-By: 127.0.0.9:1\r\n"));
        LocalFleet.await("the request runs", () -> !endpoint.executions().isEmpty());
        daemon.process().terminate();
        String response = relayingVm.readAll();
        assertThat(response).startsWith("HTTP/1.1 502");
        assertThat(response).contains("stopping");
      }
      assertThat(daemon.process().awaitExit(10)).isTrue();
    }
  }
}
