package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.peer.proto.FleetMember;
import org.zinniaspan.peer.proto.FleetMembers;
import org.zinniaspan.standins.fleet.LocalFleet;

/** A malformed message to a VM must not end its process, nor what it does from time to time. */
@Timeout(60)
class MalformedMessageTest {

  private static final long SEED = 45;
  private static final int RANDOM_MESSAGES = 200;

  private static final List<String> PATHS =
      List.of(
          "/fleet/members",
          "/fleet/catalog",
          "/fleet/engines",
          "/fleet/stream-origins",
          "/fleet/stream-origin",
          "/fleet/slots");

  @TempDir Path logs;

  private final Closer closer = new Closer();
  private final SiteClient client = new SiteClient("call", "key-1");
  private RawServer otherVm;
  private LocalSite.DaemonProcess daemon;

  @BeforeEach
  void start() throws IOException {
    otherVm = closer.add(new RawServer(this::answer));
    LocalSite site = closer.add(new LocalSite(logs));
    site.publishConfiguration(List.of("key-1"));
    site.addPeer(otherVm.address());
    site.addEndpoint("i-1", "zone-a", 1);
    daemon = site.startDaemon("vm-1", "zone-a", LocalSite.LaunchOptions.smallVm());
    LocalSite.awaitReady(daemon);
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  private boolean answer(RawServer.Request request, Socket socket) throws IOException {
    byte[] body = members(otherVm.address(), "zone-a");
    String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n";
    RawServer.write(socket, head + new String(body, StandardCharsets.ISO_8859_1));
    return true;
  }

  private static byte[] members(String address, String zone) {
    FleetMember sender = FleetMember.newBuilder().setAddress(address).setZone(zone).build();
    return FleetMembers.newBuilder().setSender(sender).build().toByteArray();
  }

  private void send(String path, byte[] body) throws IOException {
    try (RawClient connection = new RawClient(daemon.peerAddress())) {
      connection.send(
          "POST "
              + path
              + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
              + body.length
              + "\r\n\r\n"
              + new String(body, StandardCharsets.ISO_8859_1));
      connection.readUntil("\r\n\r\n");
    }
  }

  private void assertGoesOn() throws IOException {
    int seen = otherVm.requests().size();
    LocalFleet.await("gossip goes on", () -> otherVm.requests().size() >= seen + 4);
    assertThat(client.call(daemon.callerAddress(), "POST", "/unsafe/x", "").isCompleteSuccess())
        .isTrue();
    String log = Files.readString(daemon.logFile());
    assertThat(log).doesNotContain("timer-fault");
    assertThat(log).doesNotContain("connection-fault");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "no-port", "127.0.0.9:", "127.0.0.9:x", "127.0.0.9:70000", ":1", "\n"})
  void withAddressThatCannotBeParsed(String address) throws IOException {
    send("/fleet/members", members(address, "zone-a"));
    send("/fleet/members", members(address, "zone-b"));
    assertGoesOn();
  }

  @Test
  void withZoneThatNobodyKnows() throws IOException {
    send("/fleet/members", members("127.0.0.9:1", ""));
    send("/fleet/members", members("127.0.0.9:2", "\u0000zone"));
    assertGoesOn();
  }

  @Test
  void ofRandomBytes() throws IOException {
    Random random = new Random(SEED);
    for (int i = 0; i < RANDOM_MESSAGES; i++) {
      byte[] body = new byte[random.nextInt(60)];
      random.nextBytes(body);
      // Small numbers make valid tags, lengths and values more likely.
      for (int b = 0; b < body.length; b++) {
        body[b] = random.nextBoolean() ? body[b] : (byte) random.nextInt(32);
      }
      send(PATHS.get(i % PATHS.size()), body);
    }
    assertGoesOn();
  }
}
