package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.STAMP;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.request;
import static org.zinniaspan.standins.site.RawServer.write;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A stream that ends inside an event, or before its first one, has been broken off. */
@Timeout(60)
class StreamEndTest {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nX-Zinniaspan-Attempt-Id: a1\r\n"
          + STAMP
          + "Content-Type: text/event-stream\r\n";

  private final ForwardDaemonFixture daemon = new ForwardDaemonFixture();

  @BeforeEach
  void start() throws IOException {
    daemon.start();
    daemon.second.setHandler(
        (request, socket) -> {
          String last = request.header("Last-Event-Id");
          write(socket, HEAD + "\r\n" + (last.isEmpty() ? "id: 1\ndata: a\n\n" : ""));
          write(socket, "id: 2\ndata: b\n\n");
          return false;
        });
  }

  @AfterEach
  void stop() {
    daemon.close();
  }

  /** Lets the first endpoint answer with some bytes and close the connection in an orderly way. */
  private void answerOnce(String response) {
    daemon.first.setHandler(
        (request, socket) -> {
          write(socket, response);
          return false;
        });
  }

  private String call() throws IOException {
    return daemon.call(request("POST", "/chat/x", "", "b"));
  }

  private static void assertWhole(String response) {
    assertThat(response).startsWith("HTTP/1.1 200");
    assertThat(response.split("id: 1\n", -1)).hasLength(2);
    assertThat(response.split("id: 2\n", -1)).hasLength(2);
    assertThat(response).endsWith("0\r\n\r\n");
  }

  @Test
  void mayBeTheEndOfTheConnection() throws IOException {
    answerOnce(HEAD + "\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assertWhole(call());
    assertThat(daemon.second.requests()).isEmpty();
  }

  @Test
  void insideAnEventWithoutLengthLetsTheStreamGoOnElsewhere() throws IOException {
    answerOnce(HEAD + "\r\nid: 1\ndata: a\n\nid: 2\nda");
    assertWhole(call());
    assertThat(daemon.second.requests().get(0).header("Last-Event-Id")).isEqualTo("1");
  }

  @Test
  void insideAnEventInChunksLetsTheStreamGoOnElsewhere() throws IOException {
    answerOnce(
        HEAD
            + "Transfer-Encoding: chunked\r\n\r\n"
            + "f\r\nid: 1\ndata: a\n\n\r\n8\r\nid: 2\nda\r\n0\r\n\r\n");
    assertWhole(call());
    assertThat(daemon.second.requests().get(0).header("Last-Event-Id")).isEqualTo("1");
  }

  @Test
  void beforeTheFirstEventLetsTheStreamBeginElsewhere() throws IOException {
    answerOnce(HEAD + "\r\n");
    assertWhole(call());
  }

  @Test
  void insideAnEventEverywhereCutsTheStream() throws IOException {
    answerOnce(HEAD + "\r\nid: 1\ndata: a\n\nid: 2\nda");
    daemon.second.setHandler(
        (request, socket) -> {
          write(socket, HEAD + "\r\nid: 2\nda");
          return false;
        });
    String response = call();
    assertThat(response).contains("id: 1\n");
    assertThat(response).doesNotContain("id: 2\nda");
    assertThat(response).doesNotContain("\r\n0\r\n");
  }
}
