package org.zinniaspan.transport;

import static com.google.common.truth.Truth.assertThat;

import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.reactor.IOSession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class OutboundConnectionTest {

  private final Reactor reactor = Reactor.start(() -> {});
  private final List<String> calls = new ArrayList<>();

  private final IOSession session =
      (IOSession)
          Proxy.newProxyInstance(
              IOSession.class.getClassLoader(),
              new Class<?>[] {IOSession.class},
              (proxy, method, args) -> {
                calls.add(method.getName());
                return method.getReturnType() == int.class ? 0 : null;
              });

  @AfterEach
  void stop() {
    reactor.close();
  }

  @Test
  void reportsFaultsOfHandlersAtTheEndOfResponses() {
    FakeSession fake = new FakeSession();
    ExchangeRecorder handler =
        new ExchangeRecorder() {
          @Override
          public void onEnd() {
            super.onEnd();
            throw new IllegalStateException("thrown by the test");
          }
        };
    OutboundConnection connection = new OutboundConnection(reactor, idle -> calls.add("idle"));
    connection.connected(fake.session());
    connection.send(new BasicHttpRequest("GET", "/"), new byte[0], handler);
    fake.receive(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assertThat(handler.events).containsExactly("end", "fault").inOrder();
    assertThat(calls).containsExactly("idle");
    assertThat(connection.isOpen()).isFalse();
  }

  @Test
  void resetBeforeOpenClosesWithoutSending() {
    OutboundConnection connection =
        OutboundConnection.open(
            reactor,
            new InetSocketAddress("127.0.0.1", 9),
            50,
            new BufferBudget(Long.MAX_VALUE),
            lost -> {});
    connection.reset();
    connection.connected(session);
    assertThat(calls).containsExactly("close");
  }
}
