package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
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

/** A VM that reaches no endpoint, beside one that answers relayed requests without an endpoint. */
@Timeout(60)
class RelayRejectionTest {

  @TempDir Path logs;

  private final Closer closer = new Closer();
  private final SiteClient client = new SiteClient("call", "key-1");
  private RawServer otherVm;
  private volatile String answer = "404 Not Found";
  private volatile boolean framed = true;
  private InetSocketAddress daemon;
  private Path daemonLog;

  @BeforeEach
  void start() throws IOException {
    otherVm = closer.add(new RawServer(this::answerRelayedRequest));
    LocalSite site = closer.add(new LocalSite(logs));
    site.publishConfiguration(List.of("key-1"));
    site.addPeer(otherVm.address());
    for (int number = 1; number <= 3; number++) {
      site.addEndpoint("i-" + number, "zone-a", 1).close();
    }
    LocalSite.DaemonProcess process =
        site.startDaemon("vm-1", "zone-a", LocalSite.LaunchOptions.smallVm());
    LocalSite.awaitReady(process);
    LocalFleet.await(
        "the other VM is known",
        () ->
            LocalFleet.get(process.metricsAddress(), "/metrics")
                .body()
                .contains("zinniaspan_fleet_vms 2.0"));
    daemon = process.callerAddress();
    daemonLog = process.logFile();
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Answers membership messages, and anything else with the status and headers of the test. */
  private boolean answerRelayedRequest(RawServer.Request request, Socket socket)
      throws IOException {
    boolean members = request.line().contains("/fleet/members");
    FleetMember self =
        FleetMember.newBuilder().setAddress(otherVm.address()).setZone("zone-a").build();
    byte[] body =
        members ? FleetMembers.newBuilder().setSender(self).build().toByteArray() : new byte[0];
    RawServer.write(
        socket,
        "HTTP/1.1 "
            + (members ? "200 OK" : answer)
            + (members || framed ? "\r\nContent-Length: " + body.length : "")
            + "\r\n\r\n"
            + new String(body, StandardCharsets.ISO_8859_1));
    return members || framed;
  }

  /** Calls until a request was relayed, and returns the status of that call's response. */
  private int statusOfRelayedCall() {
    AtomicInteger status = new AtomicInteger();
    LocalFleet.await(
        "a request is relayed",
        () -> {
          status.set(call().status());
          return otherVm.requests().stream().anyMatch(r -> r.line().contains("/unsafe/"));
        });
    return status.get();
  }

  @Test
  void ofEarlierReleaseMeansThatTheRequestDidNotRun() {
    assertThat(statusOfRelayedCall()).isEqualTo(503);
  }

  @Test
  void thatNoEndpointSignedDoesNotMeanThatTheRequestDidNotRun() {
    answer = "200 OK";
    assertThat(statusOfRelayedCall()).isEqualTo(502);
  }

  @Test
  void ofRequestThatMayHaveRunIsNotReportedAsNotRun() {
    answer = "502 Bad Gateway\r\nZinniaspan-Relay-Refused-By-Vm: 1";
    assertThat(statusOfRelayedCall()).isEqualTo(502);
  }

  /** VMs state the end of each answer, so that one without it was cut off. */
  @Test
  void withoutItsEndIsNotPassedOn() {
    framed = false;
    answer = "200 OK\r\nX-Zinniaspan-Server-Stamp: s1";
    assertThat(statusOfRelayedCall()).isEqualTo(502);
  }

  @Test
  void withMalformedHeadIsNotPassedOn() {
    answer = "200 OK\r\nX-Zinniaspan-Server-Stamp: s1\r\nX-\2Name: v";
    assertThat(statusOfRelayedCall()).isEqualTo(502);
  }

  @Test
  void ofDrainingEndpointKeepsThisVmFromTheEndpoint() {
    answer =
        "200 OK\r\nX-Zinniaspan-Server-Stamp: s1\r\nServer-Leaving: 1\r\n"
            + "Zinniaspan-Relay-Endpoint: i-2";
    assertThat(statusOfRelayedCall()).isEqualTo(200);
    LocalFleet.await("endpoint-stated-draining", () -> logContains("endpoint-stated-draining"));
  }

  private boolean logContains(String text) {
    try {
      return Files.readString(daemonLog).contains(text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private SiteClient.RawResponse call() {
    try {
      return client.call(daemon, "POST", "/unsafe/x", "");
    } catch (IOException e) {
      throw new IllegalStateException("no answer from " + Addresses.format(daemon), e);
    }
  }
}
