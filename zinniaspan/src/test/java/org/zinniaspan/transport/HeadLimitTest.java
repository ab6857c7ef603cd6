package org.zinniaspan.transport;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.zinniaspan.forwarding.InboundLimits;

/**
 * Heads of which each line is within its limit, but not all together, filled the memory of a VM.
 */
class HeadLimitTest {

  private static final String LINE = "X-Noise: " + "x".repeat(4_000) + "\r\n";

  /** Bytes that are far more than a head may have, and far less than 100 of the longest lines. */
  private static final int MAX_BYTES = 256 * 1024;

  private final Reactor reactor = Reactor.start(() -> {});
  private final FakeSession session = new FakeSession();
  private final ExchangeRecorder recorder = new ExchangeRecorder();

  @AfterEach
  void stop() {
    reactor.close();
  }

  /** Passes a text and then lines until an event, and returns how many bytes were passed. */
  private int sendLines(Connection connection, String begin) {
    session.receive(connection, begin);
    int sent = begin.length();
    while (recorder.events.isEmpty() && sent < 2 * MAX_BYTES) {
      session.receive(connection, LINE);
      sent += LINE.length();
    }
    return sent;
  }

  @Nested
  class Responses {

    private OutboundConnection connection;

    private void send() {
      connection = new OutboundConnection(reactor, idle -> {});
      connection.connected(session.session());
      connection.send(new BasicHttpRequest("GET", "/"), new byte[0], recorder);
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 103 Early Hints\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
        })
    void endWithTheirConnection(String begin) {
      send();
      assertThat(sendLines(connection, begin)).isAtMost(MAX_BYTES);
      assertThat(recorder.events).containsExactly("lost");
      assertThat(connection.received.heldBytes()).isEqualTo(0);
    }

    /** Guards against heads that are within their limit, but not all together. */
    @Test
    void endWithTheirConnectionsIfTheyFillTheMemoryTogether() {
      BufferBudget budget = new BufferBudget(MAX_BYTES);
      List<OutboundConnection> connections = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        FakeSession own = new FakeSession();
        OutboundConnection opened = new OutboundConnection(reactor, budget, idle -> {});
        opened.connected(own.session());
        opened.send(new BasicHttpRequest("GET", "/"), new byte[0], recorder);
        own.receive(opened, "HTTP/1.1 200 OK\r\n");
        for (int sent = 0; opened.isOpen() && sent < 40_000; sent += LINE.length()) {
          own.receive(opened, LINE);
        }
        assertThat(budget.usedBytes()).isAtMost(MAX_BYTES);
        connections.add(opened);
      }
      assertThat(recorder.events).contains("lost");
      assertThat(connections.stream().filter(OutboundConnection::isOpen).count()).isAtLeast(2);
      connections.forEach(OutboundConnection::reset);
      assertThat(budget.usedBytes()).isEqualTo(0);
    }

    @Test
    void areReadOneAfterTheOther() {
      for (int i = 0; i < 40; i++) {
        if (connection == null) {
          send();
        } else {
          connection.send(new BasicHttpRequest("GET", "/"), new byte[0], recorder);
        }
        session.receive(
            connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + LINE + "\r\n");
        session.receive(connection, "1\r\nx\r\n0\r\n" + LINE + "\r\n");
      }
      assertThat(recorder.events).hasSize(40);
      assertThat(recorder.events).doesNotContain("lost");
    }

    @Test
    void mayHaveManyChunks() {
      send();
      session.receive(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int i = 0; i < MAX_BYTES / 16; i++) {
        session.receive(connection, "00000001\r\nx\r\n");
      }
      session.receive(connection, "0\r\n\r\n");
      assertThat(recorder.events).containsExactly("end");
    }
  }

  @Nested
  class Requests {

    private InboundConnection connection;

    private void open() {
      connection = new InboundConnection(reactor, recorder, () -> 0);
      connection.connected(session.session());
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "POST /x HTTP/1.1\r\n",
          "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
        })
    void areRejected(String begin) {
      open();
      assertThat(sendLines(connection, begin)).isAtMost(MAX_BYTES);
      assertThat(recorder.events).containsExactly("status 431");
    }

    @Test
    void areAcceptedUpToTheLimit() {
      open();
      int limit = InboundLimits.DEFAULT.maxHeaderBytes();
      String header = "X: " + "x".repeat(limit / 2 - 5) + "\r\n";
      session.receive(connection, "POST / HTTP/1.1\r\n" + header);
      session.receive(connection, "X: " + "x".repeat(limit - header.length() - 6) + "\r\n\r\n");
      assertThat(recorder.events).containsExactly("request");
    }
  }
}
