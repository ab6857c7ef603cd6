package org.zinniaspan.transport;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Each request was within its limit, but the bodies of a VM together filled its memory. */
class RequestBodyTest {

  private static final int KIB = 1024;
  private static final String LARGE = "x".repeat(40 * KIB);

  private final BufferBudget budget = new BufferBudget(64 * KIB);
  private final Reactor reactor = Reactor.start(() -> {});
  private final Server server = new Server();
  private boolean answers = true;

  @AfterEach
  void stop() {
    reactor.close();
  }

  /** Answers requests, and records them with the length of their bodies. */
  private final class Server extends ExchangeRecorder {

    @Override
    public BufferBudget bodyBudget(HttpRequest head) {
      return budget;
    }

    @Override
    public void onRequest(InboundConnection connection, HttpRequest head, byte[] body) {
      events.add("request " + body.length);
      if (answers) {
        connection.sendResponse(new BasicHttpResponse(200), new byte[0]);
      }
    }

    @Override
    public void onUnreadable(InboundConnection connection, int status, String reason) {
      super.onUnreadable(connection, status, reason);
      connection.sendResponse(new BasicHttpResponse(status), new byte[0]);
    }
  }

  private final class Client {
    final FakeSession session = new FakeSession();
    final InboundConnection connection = new InboundConnection(reactor, server, () -> 0);

    /** Connects and sends the head of a request and the first 40 KiB of its body. */
    Client(int bodyBytes) {
      connection.connected(session.session());
      send("POST /x HTTP/1.1\r\nContent-Length: " + bodyBytes + "\r\n\r\n");
      send(LARGE.substring(0, Math.min(bodyBytes, LARGE.length())));
    }

    void send(String text) {
      session.receive(connection, text);
    }
  }

  @Test
  void isFreeAfterTheResponse() {
    new Client(LARGE.length());
    assertThat(server.events).containsExactly("request " + LARGE.length());
    assertThat(budget.usedBytes()).isEqualTo(0);
  }

  @Test
  void isTakenUntilTheResponse() {
    answers = false;
    Client client = new Client(LARGE.length());
    assertThat(budget.usedBytes()).isGreaterThan(0L);
    client.connection.sendResponse(new BasicHttpResponse(200), new byte[0]);
    assertThat(budget.usedBytes()).isEqualTo(0);
  }

  @Test
  void isFreeAfterDisconnects() {
    Client client = new Client(2 * LARGE.length());
    assertThat(budget.usedBytes()).isGreaterThan(0L);
    client.connection.reset();
    assertThat(budget.usedBytes()).isEqualTo(0);
  }

  @Test
  void refusesAtOnceAndSkipsTheRest() {
    new Client(2 * LARGE.length());
    Client second = new Client(3 * LARGE.length());
    assertThat(server.events).containsExactly("status 503");
    assertThat(second.session.sent()).startsWith("HTTP/1.1 503");
    assertThat(second.session.sent()).contains("Connection: close");
    second.send(LARGE);
    assertThat(second.connection.isOpen()).isTrue();
    second.send(LARGE);
    assertThat(server.events).containsExactly("status 503", "left").inOrder();
  }

  @Test
  void isNotNeededForSmallBodies() {
    new Client(2 * LARGE.length());
    new Client(16 * KIB);
    assertThat(server.events).containsExactly("request " + 16 * KIB);
  }

  @Test
  void connectionsKeepNoCapacityOfLargeResponses() {
    answers = false;
    Client client = new Client(1);
    client.connection.startChunked(new BasicHttpResponse(200));
    client.connection.writeBody(ByteBuffer.allocate(1 << 20));
    client.connection.flushResponse();
    assertThat(client.session.sent().length()).isGreaterThan(1 << 20);
    assertThat(client.connection.unsent.capacity()).isAtMost(16 * KIB);
  }

  @Test
  void connectionsKeepNoCapacityOfLargeRequests() {
    FakeSession session = new FakeSession();
    OutboundConnection connection = new OutboundConnection(reactor, idle -> {});
    connection.connected(session.session());
    connection.send(new BasicHttpRequest("POST", "/"), new byte[4 << 20], server);
    assertThat(session.sent()).hasLength("POST / HTTP/1.1\r\n\r\n".length() + (4 << 20));
    assertThat(connection.unsent.capacity()).isAtMost(16 * KIB);
  }
}
