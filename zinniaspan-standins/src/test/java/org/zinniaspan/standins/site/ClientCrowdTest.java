package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.STAMP;
import static org.zinniaspan.standins.site.RawServer.write;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.peer.proto.FleetMember;
import org.zinniaspan.peer.proto.FleetMembers;
import org.zinniaspan.standins.fleet.LocalFleet;
import org.zinniaspan.standins.site.Crowd.Origin;

/**
 * Clients beyond the limits ended a process: it ran out of memory, or its accept thread out of
 * descriptors. Half of the heap and of the memory of the smallest VM.
 */
@Timeout(120)
class ClientCrowdTest {

  private static final int MEMORY_MB = 145;
  private static final int MANY_DESCRIPTORS = 4_096;
  private static final int FEW_DESCRIPTORS = 600;
  private static final int CROWD = 900;
  private static final int BODY_BYTES = 4_000_000;
  private static final int OVERSIZED_BYTES = 1 << 20;
  private static final String PIECE = "x".repeat(50_000);
  private static final long BYTES_PER_MB = 1 << 20;

  /** The ports of a VM. */
  private static final List<Function<LocalSite.DaemonProcess, InetSocketAddress>> PORTS =
      List.of(
          LocalSite.DaemonProcess::peerAddress,
          LocalSite.DaemonProcess::readyAddress,
          LocalSite.DaemonProcess::metricsAddress);

  @TempDir Path logs;

  private final Closer closer = new Closer();
  private final SiteClient client = new SiteClient("call", "key-1");
  private final AtomicInteger started = new AtomicInteger();
  private final AtomicInteger ended = new AtomicInteger();
  private LocalSite.DaemonProcess daemon;
  private ProcessFootprint footprint;
  private int maxDescriptors;

  @AfterEach
  void stop() {
    closer.close();
  }

  private void start(int descriptors) throws IOException {
    LocalSite site = closer.add(new LocalSite(logs));
    site.publishConfiguration(List.of("key-1"));
    for (String id : List.of("i-1", "i-2")) {
      RawServer endpoint = closer.add(new RawServer(this::answer));
      site.store().put("servers/" + id, ForwardDaemonFixture.endpointEntry(endpoint, "zone-a", 1));
    }
    startDaemon(site, descriptors);
  }

  private void startDaemon(LocalSite site, int descriptors) throws IOException {
    maxDescriptors = descriptors;
    daemon =
        site.startDaemon(
            "vm-1",
            "zone-a",
            LocalSite.LaunchOptions.smallVm()
                .withDaemonFlags(
                    "--memory-mb", "" + MEMORY_MB, "--max-file-descriptors", "" + descriptors));
    LocalSite.awaitReady(daemon);
    footprint = new ProcessFootprint(daemon.process().pid());
  }

  /** Answers with a large body or a long stream where the path asks for it. */
  private boolean answer(RawServer.Request request, Socket socket) throws IOException {
    started.incrementAndGet();
    try {
      return writeAnswer(request, socket);
    } finally {
      ended.incrementAndGet();
    }
  }

  private boolean writeAnswer(RawServer.Request request, Socket socket) throws IOException {
    String id = request.header("X-Zinniaspan-Attempt-Id");
    if (request.line().contains("/chat/")) {
      String head = "HTTP/1.1 200 OK\r\nX-Zinniaspan-Attempt-Id: " + id + "\r\n" + STAMP;
      write(socket, head + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
      for (int event = 1; event <= 400; event++) {
        write(socket, "id: " + event + "\ndata: " + PIECE + "\n\n");
      }
      return false;
    }
    boolean large = request.line().contains("/large");
    write(socket, ForwardDaemonFixture.okResponse(id, large ? PIECE.repeat(20) : "served"));
    return true;
  }

  private Crowd crowd(Origin origin) throws IOException {
    return crowd(daemon.callerAddress(), origin);
  }

  private Crowd crowd(InetSocketAddress target, Origin origin) throws IOException {
    return closer.add(new Crowd(target, origin, footprint::sample));
  }

  private static String head(String method, String path, String fields) {
    return method
        + ' '
        + path
        + " HTTP/1.1\r\nHost: site.example\r\nX-Zinniaspan-Attempt-Id: crowd\r\n"
        + "Authorization: Bearer key-1\r\n"
        + fields
        + "\r\n";
  }

  private static String post(String fields) {
    return head("POST", "/unsafe/x", fields);
  }

  private static String lengthOf(int bytes) {
    return "Content-Length: " + bytes + "\r\n";
  }

  private boolean isServed(String request) {
    try (RawClient connection = new RawClient(daemon.callerAddress())) {
      connection.send(request);
      return connection.readAll().endsWith("served");
    } catch (IOException e) {
      return false;
    }
  }

  /** Checks what holds for each form of crowd, while its connections stay open. */
  private void assertServesOrdinaryCallers() throws IOException {
    footprint.sample();
    String small = client.formatRequest("ordinary", "POST", "/unsafe/x", "Connection: close\r\n");
    if (daemon.process().isAlive()) {
      LocalFleet.await("an ordinary request is served", () -> isServed(small));
    }
    footprint.sample();
    boolean alive = daemon.process().isAlive();
    assertWithMessage("alive; log: %s", alive ? "" : lastLogLines()).that(alive).isTrue();
    assertThat(footprint.residentBytes()).isAtMost(MEMORY_MB * BYTES_PER_MB);
    assertThat(footprint.descriptors()).isAtMost(maxDescriptors);
  }

  /** Waits until the endpoints have written all that the daemon took. */
  private void awaitEndOfAnswers() {
    LocalFleet.await(
        "the endpoints have written their answers",
        () -> {
          footprint.sample();
          boolean done = started.get() > 0 && started.get() == ended.get();
          return done || !daemon.process().isAlive();
        });
  }

  private String lastLogLines() throws IOException {
    List<String> lines = Files.readAllLines(daemon.logFile());
    return String.join("\n", lines.subList(Math.max(0, lines.size() - 5), lines.size()));
  }

  /** Checks that one request of legal size is served once the crowd has left. */
  private void assertServesLargeRequest() {
    String large = post("Connection: close\r\n" + lengthOf(BODY_BYTES)) + "x".repeat(BODY_BYTES);
    LocalFleet.await("a large request is served", () -> isServed(large));
  }

  @Nested
  class Bodies {

    @ParameterizedTest
    @EnumSource(Origin.class)
    void thatStopBeforeTheirEnd(Origin origin) throws IOException {
      start(MANY_DESCRIPTORS);
      try (Crowd crowd = crowd(origin)) {
        crowd.open(CROWD);
        crowd.send(post(lengthOf(BODY_BYTES)) + PIECE.repeat(4));
        assertServesOrdinaryCallers();
      }
      assertServesLargeRequest();
    }

    @ParameterizedTest
    @EnumSource(Origin.class)
    void thatComePieceByPiece(Origin origin) throws IOException {
      start(MANY_DESCRIPTORS);
      try (Crowd crowd = crowd(origin)) {
        crowd.open(CROWD / 3);
        crowd.send(post(lengthOf(BODY_BYTES)));
        for (int piece = 0; piece < BODY_BYTES / PIECE.length() / 4; piece++) {
          crowd.send(PIECE);
        }
        assertServesOrdinaryCallers();
      }
      assertServesLargeRequest();
    }

    @Test
    void thatAreSmallAndStopBeforeTheirEnd() throws IOException {
      start(MANY_DESCRIPTORS);
      try (Crowd crowd = crowd(Origin.MANY_ADDRESSES)) {
        crowd.open(4 * CROWD);
        crowd.send(post(lengthOf(16_000)) + "x".repeat(15_999));
        assertServesOrdinaryCallers();
      }
      assertServesLargeRequest();
    }

    @Test
    void thatAreWholeAndOtherwiseIncomplete() throws IOException {
      start(MANY_DESCRIPTORS);
      try (Crowd whole = crowd(Origin.ONE_ADDRESS);
          Crowd incomplete = crowd(Origin.MANY_ADDRESSES)) {
        incomplete.open(CROWD / 3);
        incomplete.send(post(lengthOf(BODY_BYTES)) + PIECE.repeat(BODY_BYTES / PIECE.length() - 1));
        whole.open(20);
        whole.send(post(lengthOf(BODY_BYTES)) + PIECE.repeat(BODY_BYTES / PIECE.length()));
        assertServesOrdinaryCallers();
      }
      assertServesLargeRequest();
    }
  }

  @Nested
  class ChunkedBodies {

    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

    @ParameterizedTest
    @EnumSource(Origin.class)
    void inLargeChunksThatStopBeforeTheirEnd(Origin origin) throws IOException {
      start(MANY_DESCRIPTORS);
      try (Crowd crowd = crowd(origin)) {
        crowd.open(CROWD);
        crowd.send(post(CHUNKED) + Integer.toHexString(BODY_BYTES) + "\r\n" + PIECE.repeat(4));
        assertServesOrdinaryCallers();
      }
      assertServesLargeRequest();
    }

    @ParameterizedTest
    @EnumSource(Origin.class)
    void inChunksOfOneByteThatStopBeforeTheirEnd(Origin origin) throws IOException {
      start(MANY_DESCRIPTORS);
      try (Crowd crowd = crowd(origin)) {
        crowd.open(CROWD);
        crowd.send(post(CHUNKED) + "1\r\nx\r\n".repeat(20_000));
        assertServesOrdinaryCallers();
      }
      assertServesLargeRequest();
    }

    @Test
    void withTrailersAndExtensionsWithoutEnd() throws IOException {
      start(MANY_DESCRIPTORS);
      try (Crowd trailers = crowd(Origin.ONE_ADDRESS);
          Crowd extensions = crowd(Origin.ONE_ADDRESS)) {
        trailers.open(CROWD / 2);
        trailers.send(post(CHUNKED) + "0\r\n" + "T: x\r\n".repeat(99) + "T: " + "x".repeat(15_000));
        extensions.open(CROWD / 2);
        extensions.send(post(CHUNKED) + "1;" + "x".repeat(15_000));
        assertServesOrdinaryCallers();
      }
    }
  }

  @Nested
  class OversizedBodies {

    @ParameterizedTest
    @MethodSource("forms")
    void areNotKept(String form) throws IOException {
      start(MANY_DESCRIPTORS);
      try (Crowd crowd = crowd(Origin.ONE_ADDRESS)) {
        crowd.open(CROWD / 3);
        crowd.send(post(form) + PIECE);
        for (int sent = 0; sent < OVERSIZED_BYTES; sent += PIECE.length()) {
          crowd.send(PIECE);
        }
        assertServesOrdinaryCallers();
      }
    }

    static List<String> forms() {
      return List.of(
          "Content-Length: 900000000000\r\n",
          "Transfer-Encoding: chunked\r\n\r\n7fffffff",
          "Content-Length: 10\r\n");
    }
  }

  @Nested
  class Connections {

    @ParameterizedTest
    @EnumSource(Origin.class)
    void withoutAnyByte(Origin origin) throws IOException {
      start(FEW_DESCRIPTORS);
      try (Crowd crowd = crowd(origin)) {
        crowd.open(2 * CROWD);
        assertServesOrdinaryCallers();
      }
    }

    @ParameterizedTest
    @EnumSource(Origin.class)
    void whoseHeadsComeByteByByte(Origin origin) throws IOException {
      start(FEW_DESCRIPTORS);
      try (Crowd crowd = crowd(origin)) {
        crowd.open(CROWD);
        crowd.send("GET /safe/x HTTP/1.1\r\n");
        for (int i = 0; i < 50; i++) {
          crowd.send(i % 4 == 3 ? "\n" : i % 4 == 2 ? "\r" : i % 4 == 1 ? ":" : "x");
        }
        assertServesOrdinaryCallers();
      }
    }

    @Test
    void withLongHeadsThatDoNotEnd() throws IOException {
      start(MANY_DESCRIPTORS);
      try (Crowd crowd = crowd(Origin.MANY_ADDRESSES)) {
        crowd.open(4 * CROWD);
        crowd.send("GET /safe/x HTTP/1.1\r\n" + "X: x\r\n".repeat(98) + "Y: " + "y".repeat(15_000));
        assertServesOrdinaryCallers();
      }
    }

    @Test
    void beyondTheDescriptorsThatTheProcessHas() throws IOException {
      start(MANY_DESCRIPTORS);
      lowerDescriptorLimit();
      maxDescriptors = FEW_DESCRIPTORS;
      try (Crowd crowd = crowd(Origin.ONE_ADDRESS)) {
        crowd.open(CROWD);
        assertServesOrdinaryCallers();
      }
    }

    /** Lets the process open fewer descriptors than its flag says. */
    private void lowerDescriptorLimit() throws IOException {
      Process prlimit =
          new ProcessBuilder(
                  "prlimit", "--pid", "" + daemon.process().pid(), "--nofile=" + FEW_DESCRIPTORS)
              .start();
      try {
        assertThat(prlimit.waitFor()).isEqualTo(0);
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
  }

  @Nested
  class Responses {

    @ParameterizedTest
    @EnumSource(Origin.class)
    void thatAreNotRead(Origin origin) throws IOException {
      start(MANY_DESCRIPTORS);
      try (Crowd crowd = crowd(origin)) {
        crowd.open(100);
        crowd.send(head("GET", "/safe/large", "").repeat(20));
        crowd.send(head("GET", "/safe/large", "Connection: close\r\n"));
        awaitEndOfAnswers();
        assertServesOrdinaryCallers();
      }
    }

    @ParameterizedTest
    @EnumSource(Origin.class)
    void ofStreamsThatAreNotRead(Origin origin) throws IOException {
      start(MANY_DESCRIPTORS);
      try (Crowd crowd = crowd(origin)) {
        crowd.open(100);
        crowd.send(post(lengthOf(1)).replace("/unsafe/", "/chat/") + "x");
        awaitEndOfAnswers();
        assertServesOrdinaryCallers();
      }
    }

    @ParameterizedTest
    @EnumSource(Origin.class)
    void ofPipelinedRequestsThatAreNotRead(Origin origin) throws IOException {
      start(MANY_DESCRIPTORS);
      try (Crowd crowd = crowd(origin)) {
        crowd.open(100);
        crowd.send(head("GET", "/safe/x", "").repeat(2_000));
        crowd.send(head("GET", "/nowhere", "").repeat(20_000));
        awaitEndOfAnswers();
        assertServesOrdinaryCallers();
      }
    }
  }

  @Nested
  class OtherPorts {

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void withBodiesThatStopBeforeTheirEnd(int port) throws IOException {
      start(MANY_DESCRIPTORS);
      try (Crowd crowd = crowd(PORTS.get(port).apply(daemon), Origin.ONE_ADDRESS)) {
        crowd.open(CROWD);
        crowd.send(peerPost("", 2_000_000) + PIECE.repeat(4));
        assertServesOrdinaryCallers();
      }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void withConnectionsWithoutAnyByte(int port) throws IOException {
      start(FEW_DESCRIPTORS);
      try (Crowd crowd = crowd(PORTS.get(port).apply(daemon), Origin.MANY_ADDRESSES)) {
        crowd.open(2 * CROWD);
        assertServesOrdinaryCallers();
      }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void withPipelinedRequestsThatAreNotRead(int port) throws IOException {
      start(MANY_DESCRIPTORS);
      try (Crowd crowd = crowd(PORTS.get(port).apply(daemon), Origin.ONE_ADDRESS)) {
        crowd.open(100);
        crowd.send((peerPost("", 0) + "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n").repeat(5_000));
        assertServesOrdinaryCallers();
      }
    }

    @Test
    void withRelayedBodiesThatStopBeforeTheirEnd() throws IOException {
      start(MANY_DESCRIPTORS);
      try (Crowd crowd = crowd(daemon.peerAddress(), Origin.MANY_ADDRESSES)) {
        crowd.open(CROWD);
        crowd.send(peerPost("Zinniaspan-Relay-By: 127.0.0.9:1\r\n", 2_000_000) + PIECE.repeat(4));
        assertServesOrdinaryCallers();
      }
    }

    private static String peerPost(String fields, int bytes) {
      return "POST /fleet/members HTTP/1.1\r\nHost: x\r\n" + fields + lengthOf(bytes) + "\r\n";
    }
  }

  /** A VM that reaches no endpoint, and relays to one that answers. */
  @Nested
  class RelayingVm {

    private RawServer otherVm;

    @BeforeEach
    void start() throws IOException {
      otherVm = closer.add(new RawServer(this::answerAsVm));
      LocalSite site = closer.add(new LocalSite(logs));
      site.publishConfiguration(List.of("key-1"));
      site.addPeer(otherVm.address());
      for (int number = 1; number <= 3; number++) {
        site.addEndpoint("i-" + number, "zone-a", 1).close();
      }
      startDaemon(site, MANY_DESCRIPTORS);
      LocalFleet.await(
          "the other VM is known",
          () ->
              LocalFleet.get(daemon.metricsAddress(), "/metrics")
                  .body()
                  .contains("zinniaspan_fleet_vms 2.0"));
    }

    private boolean answerAsVm(RawServer.Request request, Socket socket) throws IOException {
      FleetMember self =
          FleetMember.newBuilder().setAddress(otherVm.address()).setZone("zone-a").build();
      boolean members = request.line().contains("/fleet/members");
      byte[] body = FleetMembers.newBuilder().setSender(self).build().toByteArray();
      String text = members ? new String(body, StandardCharsets.ISO_8859_1) : "served";
      String id = request.header("X-Zinniaspan-Attempt-Id");
      write(socket, ForwardDaemonFixture.okResponse(id, text));
      return true;
    }

    @ParameterizedTest
    @EnumSource(Origin.class)
    void withBodiesThatStopBeforeTheirEnd(Origin origin) throws IOException {
      try (Crowd incomplete = crowd(origin);
          Crowd whole = crowd(origin)) {
        incomplete.open(CROWD);
        incomplete.send(post(lengthOf(BODY_BYTES)) + PIECE.repeat(4));
        whole.open(20);
        whole.send(post(lengthOf(PIECE.length())) + PIECE);
        assertServesOrdinaryCallers();
      }
    }
  }
}
