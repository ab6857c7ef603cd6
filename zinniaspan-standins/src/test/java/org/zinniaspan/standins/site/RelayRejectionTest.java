package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.peer.proto.FleetMember;
import org.zinniaspan.peer.proto.FleetMembers;
import org.zinniaspan.standins.fleet.LocalFleet;

/** A VM without a path to endpoints, beside one of an earlier release that relays nothing. */
@Timeout(60)
class RelayRejectionTest {

  @TempDir Path logs;

  private final Closer closer = new Closer();
  private final SiteClient client = new SiteClient("call", "key-1");
  private RawServer earlierVm;
  private InetSocketAddress daemon;

  @BeforeEach
  void start() throws IOException {
    earlierVm = closer.add(new RawServer(this::answerAsEarlierVm));
    LocalSite site = closer.add(new LocalSite(logs));
    site.publishConfiguration(List.of("key-1"));
    site.addPeer(earlierVm.address());
    for (int number = 1; number <= 3; number++) {
      site.addEndpoint("i-" + number, "zone-a", 1).close();
    }
    LocalSite.DaemonProcess process =
        site.startDaemon("vm-1", "zone-a", LocalSite.LaunchOptions.smallVm());
    LocalSite.awaitReady(process);
    LocalFleet.await(
        "the earlier VM is known",
        () ->
            LocalFleet.get(process.metricsAddress(), "/metrics")
                .body()
                .contains("zinniaspan_fleet_vms 2.0"));
    daemon = process.callerAddress();
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Answers membership messages, and anything else as an unknown path. */
  private boolean answerAsEarlierVm(RawServer.Request request, Socket socket) throws IOException {
    boolean members = request.line().contains("/fleet/members");
    FleetMember self =
        FleetMember.newBuilder().setAddress(earlierVm.address()).setZone("zone-a").build();
    byte[] body =
        members ? FleetMembers.newBuilder().setSender(self).build().toByteArray() : new byte[0];
    RawServer.write(
        socket,
        (members ? "HTTP/1.1 200 OK" : "HTTP/1.1 404 Not Found")
            + "\r\nContent-Length: "
            + body.length
            + "\r\n\r\n"
            + new String(body, StandardCharsets.ISO_8859_1));
    return true;
  }

  @Test
  void isReportedAsNotRun() {
    LocalFleet.await("a request is relayed", this::wasRelayed);
    SiteClient.RawResponse refusal = call();
    assertThat(refusal.status()).isEqualTo(503);
    assertThat(refusal.text()).contains("Retry-After: ");
  }

  private boolean wasRelayed() {
    assertThat(call().status()).isEqualTo(503);
    return earlierVm.requests().stream().anyMatch(r -> r.line().contains("/unsafe/"));
  }

  private SiteClient.RawResponse call() {
    try {
      return client.call(daemon, "POST", "/unsafe/x", "");
    } catch (IOException e) {
      throw new IllegalStateException("no answer from " + Addresses.format(daemon), e);
    }
  }
}
