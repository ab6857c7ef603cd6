package org.zinniaspan.transport;

import static com.google.common.truth.Truth.assertThat;

import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Responses that arrive while the request's body is still being written.
 *
 * <p>Guards against the end of a connection that was broken off during the upload being taken for
 * the end of the response.
 */
class EarlyResponseTest {

  private static final byte[] BODY = new byte[100_000];

  private final Reactor reactor = Reactor.start(() -> {});
  private final FakeSession session = new FakeSession();
  private final ExchangeRecorder recorder = new ExchangeRecorder();
  private final OutboundConnection connection = new OutboundConnection(reactor, idle -> {});

  @BeforeEach
  void sendRequest() {
    connection.connected(session.session());
    session.fill();
    BasicHttpRequest request = new BasicHttpRequest("POST", "/x");
    request.addHeader("Content-Length", BODY.length);
    connection.send(request, BODY, recorder);
  }

  @AfterEach
  void stop() {
    reactor.close();
  }

  private void receiveAndEnd(String response) {
    session.receive(connection, response);
    session.endInput();
    connection.inputReady(session.session(), null);
  }

  @Test
  void areLostIfTheConnectionIsTheirEnd() {
    receiveAndEnd("HTTP/1.1 200 OK\r\n\r\npart of the body");
    assertThat(recorder.events).containsExactly("lost");
  }

  @Test
  void areCompleteIfTheRequestWasWrittenBeforeTheirEnd() {
    session.receive(connection, "HTTP/1.1 200 OK\r\n\r\nthe ");
    session.drain(connection);
    receiveAndEnd("body");
    assertThat(recorder.events).containsExactly("end");
    assertThat(session.sent().length()).isGreaterThan(BODY.length);
    assertThat(connection.isReusable()).isFalse();
  }

  @Test
  void areCompleteAtOnceIfTheyStateTheirEnd() {
    receiveAndEnd("HTTP/1.1 413 Content Too Large\r\nContent-Length: 4\r\n\r\nbody");
    assertThat(recorder.events).containsExactly("end");
  }

  @Test
  void areLostInsideTheHead() {
    receiveAndEnd("HTTP/1.1 200 OK\r\nX-Name: ");
    assertThat(recorder.events).containsExactly("lost");
  }

  @Test
  void areLostInsideBodiesThatStateTheirEnd() {
    receiveAndEnd("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    assertThat(recorder.events).containsExactly("lost");
  }
}
