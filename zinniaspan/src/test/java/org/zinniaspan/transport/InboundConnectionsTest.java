package org.zinniaspan.transport;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.forwarding.InboundLimits;

/** Connections that stopped halfway took the memory and the descriptors that others needed. */
class InboundConnectionsTest {

  private static final int KIB = 1024;

  private final Reactor reactor = Reactor.start(() -> {});
  private final Server server = new Server();
  private final BufferBudget budget = new BufferBudget(64 * KIB);
  private final InboundConnections connections = new InboundConnections(8, 64 * KIB, this::now);
  private long now;

  @BeforeEach
  void register() {
    reactor.register(connections);
  }

  @AfterEach
  void stop() {
    reactor.close();
  }

  private long now() {
    return now;
  }

  /** Records requests and keeps them in progress. */
  private final class Server extends ExchangeRecorder {

    @Override
    public BufferBudget bodyBudget(HttpRequest head) {
      return budget;
    }

    @Override
    public void onUnreadable(InboundConnection connection, int status, String reason) {
      super.onUnreadable(connection, status, reason);
      connection.sendResponse(new BasicHttpResponse(status), new byte[0]);
    }
  }

  private final class Client {
    final FakeSession session = new FakeSession();
    final InboundConnection connection =
        new InboundConnection(reactor, server, InboundConnectionsTest.this::now, connections);

    Client(String text) {
      connection.connected(session.session());
      send(text);
      connections.enforceMemory();
      now++;
    }

    void send(String text) {
      session.receive(connection, text);
    }

    boolean isOpen() {
      return connection.isOpen();
    }
  }

  private static String body(int length, int sent) {
    return "POST /x HTTP/1.1\r\nContent-Length: " + length + "\r\n\r\n" + "x".repeat(sent);
  }

  @Nested
  class BeyondTheCount {

    @Test
    void closeTheOneThatIsSilentForLongest() {
      Client oldest = new Client("");
      Client second = new Client("");
      for (int i = 0; i < 6; i++) {
        new Client("");
      }
      assertThat(oldest.isOpen()).isFalse();
      assertThat(second.isOpen()).isTrue();
      assertThat(connections.size()).isEqualTo(7);
      assertThat(connections.closedForCount()).isEqualTo(1);
    }

    @Test
    void keepThoseWithRequestsInProgress() {
      Client busy = new Client("GET /x HTTP/1.1\r\n\r\n");
      for (int i = 0; i < 20; i++) {
        new Client("");
      }
      assertThat(busy.isOpen()).isTrue();
    }
  }

  @Nested
  class BeyondTheMemory {

    @Test
    void closeUnfinishedHeads() {
      Client oldest = new Client("GET /x HTTP/1.1\r\nX: " + "x".repeat(15 * KIB));
      for (int i = 0; i < 5; i++) {
        new Client("GET /x HTTP/1.1\r\nX: " + "x".repeat(15 * KIB));
      }
      assertThat(oldest.isOpen()).isFalse();
      assertThat(connections.heldBytes()).isAtMost(64L * KIB);
      assertThat(connections.closedForMemory()).isGreaterThan(0L);
    }

    @Test
    void countNothingOnceAllAreClosed() {
      Client one = new Client("GET /x HTTP/1.1\r\nX: " + "x".repeat(10 * KIB));
      Client other = new Client(body(20 * KIB, 10 * KIB));
      assertThat(connections.heldBytes()).isGreaterThan(20L * KIB);
      one.connection.reset();
      other.connection.reset();
      assertThat(connections.heldBytes()).isEqualTo(0);
    }

    @Test
    void countUnreadResponses() {
      Client client = new Client("GET /x HTTP/1.1\r\n\r\n");
      client.connection.startChunked(new BasicHttpResponse(200));
      client.connection.writeBody(ByteBuffer.allocate(40 * KIB));
      client.connection.onBuffersChanged();
      assertThat(connections.heldBytes()).isAtLeast(40L * KIB);
      client.connection.flushResponse();
      assertThat(connections.heldBytes()).isAtMost(4L * KIB);
    }
  }

  @Test
  void refuseTheBodyThatHoldsMostForLongest() {
    Client stalled = new Client(body(60 * KIB, 60 * KIB - 1));
    now += 5_000;
    Client next = new Client(body(40 * KIB, 40 * KIB));
    assertThat(server.events).containsExactly("status 503", "request").inOrder();
    assertThat(stalled.session.sent()).startsWith("HTTP/1.1 503");
    assertThat(next.isOpen()).isTrue();
  }

  @Test
  void areNotIdleWhileResponsesAreUnread() {
    Client client = new Client("GET /x HTTP/1.1\r\n\r\n");
    client.session.fill();
    client.connection.sendResponse(new BasicHttpResponse(200), new byte[100]);
    assertThat(client.connection.isIdle()).isFalse();
  }

  @Test
  void closeThoseWhoseResponsesAreUnreadForTooLong() {
    Client client = new Client("GET /x HTTP/1.1\r\nConnection: close\r\n\r\n");
    client.session.fill();
    client.connection.sendResponse(new BasicHttpResponse(200), new byte[100]);
    now += InboundLimits.DEFAULT.idleTimeoutMs() + 1;
    connections.checkTimeouts();
    assertThat(client.isOpen()).isFalse();
  }

  @Test
  void takeNoFurtherRequestsWhileResponsesAreUnread() {
    Client client = new Client("GET /x HTTP/1.1\r\n\r\n");
    client.send("GET /y HTTP/1.1\r\n\r\n".repeat(1_000));
    assertThat(server.events).containsExactly("request");
    assertThat(client.connection.received.length()).isAtMost(8 * KIB);
  }

  @Test
  void refuseStatedLengthsBeyondTheLimitBeforeTheBody() {
    Client client = new Client(body(5 << 20, 0));
    assertThat(server.events).containsExactly("status 413");
    assertThat(client.session.sent()).contains("Connection: close");
  }
}
