package org.zinniaspan.transport;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.function.BiFunction;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Messages that the remote side breaks off with an orderly close, at each of their bytes.
 *
 * <p>Guards against the end of the input being taken for the end of a head, a line or a chunk: the
 * message would look complete without the rest.
 */
class TruncatedMessageTest {

  private static final String HEADERS = "X-Stamp: 3e1b.07\r\nContent-Type: text/plain\r\n";
  private static final String LENGTH_DELIMITED = HEADERS + "Content-Length: 24\r\n\r\n";
  private static final String BODY = "answer to the request 01";
  private static final String CHUNKED = HEADERS + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String CHUNKS = "0a\r\n0123456789\r\n00\r\nX-Trailer: t\r\n\r\n";

  private final Reactor reactor = Reactor.start(() -> {});

  @AfterEach
  void stop() {
    reactor.close();
  }

  /** Passes bytes to a connection; the end of the input comes with them or in a later read. */
  private static void receive(
      Connection connection, FakeSession session, String text, boolean endsAtOnce) {
    session.receive(text);
    if (endsAtOnce) {
      session.endInput();
    }
    connection.inputReady(session.session(), null);
    session.endInput();
    connection.inputReady(session.session(), null);
  }

  /** Passes a message that ends after each of its bytes, and checks what is seen of it. */
  private static void checkEachCut(
      String whole, BiFunction<String, Boolean, List<String>> eventsOf, String expected) {
    for (int length = 0; length < whole.length(); length++) {
      String part = whole.substring(0, length);
      assertWithMessage(part).that(eventsOf.apply(part, true)).containsExactly(expected);
      assertWithMessage(part).that(eventsOf.apply(part, false)).containsExactly(expected);
    }
  }

  @Nested
  class Responses {

    private List<String> eventsOf(String response, boolean endsAtOnce) {
      FakeSession session = new FakeSession();
      ExchangeRecorder recorder = new ExchangeRecorder();
      OutboundConnection connection = new OutboundConnection(reactor, idle -> {});
      connection.connected(session.session());
      connection.send(new BasicHttpRequest("GET", "/"), new byte[0], recorder);
      receive(connection, session, response, endsAtOnce);
      return recorder.events;
    }

    @ParameterizedTest
    @ValueSource(strings = {LENGTH_DELIMITED + BODY, CHUNKED + CHUNKS})
    void areNeverComplete(String rest) {
      String whole = "HTTP/1.1 200 OK\r\n" + rest;
      checkEachCut(whole, this::eventsOf, "lost");
      assertWithMessage(whole).that(eventsOf(whole, true)).containsExactly("end");
    }

    @Test
    void areNotCompleteInsideTheHeadIfTheConnectionDelimitsTheBody() {
      String head = "HTTP/1.1 200 OK\r\n" + HEADERS + "\r\n";
      checkEachCut(head, this::eventsOf, "lost");
      assertWithMessage(head).that(eventsOf(head + BODY, true)).containsExactly("end");
    }

    @Test
    void areNotCompleteAfterAnInformationalHead() {
      String whole =
          "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n" + LENGTH_DELIMITED;
      checkEachCut(whole, this::eventsOf, "lost");
    }
  }

  @Nested
  class Requests {

    private List<String> eventsOf(String request, boolean endsAtOnce) {
      FakeSession session = new FakeSession();
      ExchangeRecorder recorder = new ExchangeRecorder();
      InboundConnection connection = new InboundConnection(reactor, recorder, () -> 0);
      connection.connected(session.session());
      receive(connection, session, request, endsAtOnce);
      return recorder.events;
    }

    @ParameterizedTest
    @ValueSource(strings = {"\r\n", LENGTH_DELIMITED + BODY, CHUNKED + CHUNKS})
    void areNeverPassedOn(String rest) {
      String whole = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Id: 9c41d07be2a3\r\n" + rest;
      checkEachCut(whole, this::eventsOf, "left");
      assertWithMessage(whole).that(eventsOf(whole, true)).containsExactly("request", "left");
    }
  }
}
