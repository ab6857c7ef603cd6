package org.zinniaspan.transport;

import static com.google.common.truth.Truth.assertThat;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.zinniaspan.forwarding.InboundLimits;

/** Each request was within its limit, but the bodies of a VM together filled its memory. */
class RequestBodyTest implements InboundHandler {

  private static final int KIB = 1024;
  private static final String LARGE = "x".repeat(40 * KIB);

  private final BufferBudget budget = new BufferBudget(64 * KIB);
  private final Reactor reactor = Reactor.start(() -> {});

  private final List<String> events = new ArrayList<>();
  private boolean answers = true;

  @Override
  public InboundLimits limits() {
    return InboundLimits.DEFAULT;
  }

  @Override
  public BufferBudget bodyBudget(HttpRequest head) {
    return budget;
  }

  @Override
  public void onOpen(InboundConnection opened) {
    // Only requests matter.
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
    events.add("status " + status);
    connection.sendResponse(new BasicHttpResponse(status), new byte[0]);
  }

  @Override
  public void onDisconnect(InboundConnection left) {
    events.add("left");
  }

  private final class Client {
    final FakeSession session = new FakeSession();
    final InboundConnection connection =
        new InboundConnection(reactor, RequestBodyTest.this, () -> 0);

    Client() {
      connection.connected(session.session());
    }

    void send(String text) {
      session.receive(text);
      connection.inputReady(session.session(), null);
    }

    void sendHead(int bodyBytes) {
      send("POST /x HTTP/1.1\r\nContent-Length: " + bodyBytes + "\r\n\r\n");
    }
  }

  @Test
  void isFreeAfterTheResponse() {
    Client client = new Client();
    client.sendHead(LARGE.length());
    client.send(LARGE);
    assertThat(events).containsExactly("request " + LARGE.length());
    assertThat(budget.usedBytes()).isEqualTo(0);
  }

  @Test
  void isTakenUntilTheResponse() {
    answers = false;
    Client client = new Client();
    client.sendHead(LARGE.length());
    client.send(LARGE);
    assertThat(budget.usedBytes()).isGreaterThan(0L);
    client.connection.sendResponse(new BasicHttpResponse(200), new byte[0]);
    assertThat(budget.usedBytes()).isEqualTo(0);
  }

  @Test
  void isFreeAfterDisconnects() {
    Client client = new Client();
    client.sendHead(2 * LARGE.length());
    client.send(LARGE);
    assertThat(budget.usedBytes()).isGreaterThan(0L);
    client.connection.reset();
    assertThat(budget.usedBytes()).isEqualTo(0);
  }

  @Test
  void refusesAtOnceAndSkipsTheRest() {
    Client first = new Client();
    first.sendHead(2 * LARGE.length());
    first.send(LARGE);
    Client second = new Client();
    second.sendHead(3 * LARGE.length());
    second.send(LARGE);
    assertThat(events).containsExactly("status 503");
    assertThat(second.session.sent()).startsWith("HTTP/1.1 503");
    assertThat(second.session.sent()).contains("Connection: close");
    second.send(LARGE);
    assertThat(second.connection.isOpen()).isTrue();
    second.send(LARGE);
    assertThat(events).containsExactly("status 503", "left").inOrder();
  }

  @Test
  void isNotNeededForSmallBodies() {
    Client first = new Client();
    first.sendHead(2 * LARGE.length());
    first.send(LARGE);
    Client second = new Client();
    second.sendHead(16 * KIB);
    second.send("x".repeat(16 * KIB));
    assertThat(events).containsExactly("request " + 16 * KIB);
  }

  @AfterEach
  void stop() {
    reactor.close();
  }

  private static ResponseHandler ignoring() {
    return (ResponseHandler)
        Proxy.newProxyInstance(
            ResponseHandler.class.getClassLoader(),
            new Class<?>[] {ResponseHandler.class},
            (proxy, method, args) -> null);
  }

  @Test
  void connectionsKeepNoCapacityOfLargeRequests() {
    FakeSession session = new FakeSession();
    OutboundConnection connection = new OutboundConnection(reactor, idle -> {});
    connection.connected(session.session());
    connection.send(new BasicHttpRequest("POST", "/"), new byte[4 << 20], ignoring());
    assertThat(session.sent()).hasLength("POST / HTTP/1.1\r\n\r\n".length() + (4 << 20));
    assertThat(connection.unsent.capacity()).isAtMost(16 * KIB);
  }
}
