package org.zinniaspan.transport;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against heads that are none by RFC 9112 being taken for those of a message. */
class MalformedHeadTest {

  private final Reactor reactor = Reactor.start(() -> {});

  @AfterEach
  void stop() {
    reactor.close();
  }

  /** Lines whose field name, or value, holds a byte that it must not have. */
  static List<String> malformedFields() {
    return List.of(
        "X Name: v",
        "X-Na\tme: v",
        "X-Name : v",
        "X-\2Name: v",
        "X-Name\0: v",
        "X-Name\177: v",
        "X-Ünme: v",
        "X-(Name): v",
        "X-\"Name\": v",
        "X/Name: v",
        "X-Name[0]: v",
        "Content-\2Length: 4",
        "Content Length: 4",
        ": v",
        "no colon",
        "X-Name: v\0",
        "X-Name: \1v",
        "X-Name: a\rX-Other: b",
        "X-Name: v\177",
        "X-Name: v\33[2J");
  }

  @Nested
  class Responses {

    private List<String> eventsOf(String response) {
      FakeSession session = new FakeSession();
      ExchangeRecorder recorder = new ExchangeRecorder();
      OutboundConnection connection = new OutboundConnection(reactor, idle -> {});
      connection.connected(session.session());
      connection.send(new BasicHttpRequest("GET", "/"), new byte[0], recorder);
      session.receive(connection, response);
      return recorder.events;
    }

    private void check(String head, String expected) {
      assertWithMessage(head)
          .that(eventsOf(head + "Content-Length: 4\r\n\r\nbody"))
          .containsExactly(expected);
    }

    @ParameterizedTest
    @MethodSource("org.zinniaspan.transport.MalformedHeadTest#malformedFields")
    void areErrorsWithMalformedFields(String field) {
      check("HTTP/1.1 200 OK\r\n" + field + "\r\n", "lost");
      check("HTTP/1.1 200 OK\r\nX-First: 1\r\n" + field + "\r\nX-Last: 1\r\n", "lost");
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/1.1 000 OK",
          "HTTP/1.1 099 OK",
          "HTTP/1.1 600 Odd",
          "HTTP/1.1 999 Odd",
          "HTTP/1.1 2000 OK",
          "HTTP/1.1 20 OK",
          "HTTP/1.1 0200 OK",
          "HTTP/1.1 +20 OK",
          "HTTP/1.1 -20 OK",
          "HTTP/1.1 2x0 OK",
          "HTTP/1.1 200OK",
          "HTTP/1.1  200 OK",
          " HTTP/1.1 200 OK",
          "HTTP/1.1\t200 OK",
          "HTTP/1.1 200 O\0K",
          "HTTP/1.1 200 OK\rX-Name: v",
          "HTTP/2.0 200 OK",
          "HTTP/1.10 200 OK",
          "HTTP/1.1 OK 200",
          "HTTP/1.1 101 Switching Protocols"
        })
    void areErrorsWithMalformedStatusLines(String line) {
      check(line + "\r\n", "lost");
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/1.1 200 OK",
          "HTTP/1.1 200 ",
          "HTTP/1.1 200",
          "HTTP/1.0 599 Très odd",
          "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK"
        })
    void areCompleteWithUnusualStatusLines(String line) {
      check(line + "\r\n", "end");
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "X-Name:",
          "X-Name:v",
          "X-Name: \t Clé\t;ü ",
          "X!#$%&'*+-.^_`|~9: v",
          "a: b\r\n c"
        })
    void areCompleteWithUnusualFields(String field) {
      check("HTTP/1.1 200 OK\r\n" + field + "\r\n", "end");
    }
  }

  @Nested
  class Requests {

    private List<String> eventsOf(String request) {
      FakeSession session = new FakeSession();
      ExchangeRecorder recorder = new ExchangeRecorder();
      InboundConnection connection = new InboundConnection(reactor, recorder, () -> 0);
      connection.connected(session.session());
      session.receive(connection, request);
      return recorder.events;
    }

    @ParameterizedTest
    @MethodSource("org.zinniaspan.transport.MalformedHeadTest#malformedFields")
    void areRejectedWithMalformedFields(String field) {
      assertWithMessage(field)
          .that(eventsOf("GET /x HTTP/1.1\r\nHost: h\r\n" + field + "\r\n\r\n"))
          .containsExactly("status 400");
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "GET /x\0 HTTP/1.1",
          "GET /x\ry HTTP/1.1",
          "G\2T /x HTTP/1.1",
          "GET  /x HTTP/1.1",
          "GET /x y HTTP/1.1",
          "GET /x HTTP/2.0",
          "GET /x HTTP/1.1 "
        })
    void areRejectedWithMalformedRequestLines(String line) {
      assertWithMessage(line)
          .that(eventsOf(line + "\r\nHost: h\r\n\r\n"))
          .containsExactly("status 400");
    }

    @Test
    void areAcceptedWithUnusualFields() {
      assertWithMessage("unusual fields")
          .that(eventsOf("M-SEARCH /x?é=[1] HTTP/1.1\r\nHost: h\r\nX!~: \tü\t\r\n\r\n"))
          .containsExactly("request");
    }
  }
}
