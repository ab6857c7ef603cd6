package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.STAMP;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.always;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.okResponse;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.request;
import static org.zinniaspan.standins.site.RawServer.write;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Endpoints that send bytes without end must neither fill the memory nor hold up requests. */
@Timeout(60)
class EndlessAnswerTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Zinniaspan-Attempt-Id: a1\r\n" + STAMP;

  /** Far above the largest answer that is buffered, and far below the memory of a small VM. */
  private static final long MAX_BYTES = 24L << 20;

  private final ForwardDaemonFixture daemon = new ForwardDaemonFixture();
  private final AtomicLong written = new AtomicLong();

  @BeforeEach
  void start() throws IOException {
    daemon.start();
    daemon.second.setHandler(always(okResponse("a1", "second")));
  }

  @AfterEach
  void stop() {
    daemon.close();
  }

  /** Writes a text and then another one again and again, until the connection is closed. */
  private boolean writeForever(Socket socket, String begin, String repeated) throws IOException {
    byte[] bytes = repeated.repeat(1 + 8_192 / repeated.length()).getBytes(StandardCharsets.UTF_8);
    socket.getOutputStream().write(begin.getBytes(StandardCharsets.UTF_8));
    while (written.get() < 4 * MAX_BYTES) {
      socket.getOutputStream().write(bytes);
      written.addAndGet(bytes.length);
    }
    return false;
  }

  private void answerForever(String begin, String repeated) {
    daemon.first.setHandler((request, socket) -> writeForever(socket, begin, repeated));
  }

  @ParameterizedTest
  @CsvSource({
    "HTTP/1.1 200 OK|X: , x",
    "HTTP/1.1 200 OK|, X: x|",
    "HTTP/1.1 100 Continue||, HTTP/1.1 100 Continue||",
    "xyz, xyz",
    "HTTP/1.1 200 OK|X-Zinniaspan-Attempt-Id: a1|X-Zinniaspan-Server-Stamp: s1||, x",
    "HTTP/1.1 200 OK|X-Zinniaspan-Attempt-Id: a0||, x",
    "HTTP/1.1 200 OK|Transfer-Encoding: chunked||0|, X: x|",
  })
  void leaveSafeRequestsToOtherEndpoints(String begin, String repeated) throws IOException {
    answerForever(begin.replace("|", "\r\n"), repeated.replace("|", "\r\n"));
    long startMs = System.currentTimeMillis();
    String response = daemon.call(request("GET", "/safe/x", "", ""));
    assertThat(written.get()).isAtMost(MAX_BYTES);
    assertThat(response).startsWith("HTTP/1.1 200");
    assertThat(response).endsWith("second");
    assertThat(System.currentTimeMillis() - startMs).isAtMost(10_000);
  }

  @Test
  void endStreamsWithAnEventWithoutEnd() throws IOException {
    answerForever(HEAD + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x");
    String streamHead = HEAD + "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n";
    daemon.second.setHandler(always(streamHead + "id: 1\ndata: b\n\n"));
    String response = daemon.call(request("POST", "/chat/x", "", "b"));
    assertThat(written.get()).isAtMost(MAX_BYTES);
    assertThat(response).contains("data: b\n");
  }

  @Test
  void failUnsafeRequestsAtOnce() throws IOException {
    answerForever(HEAD + "\r\n", "x");
    String response = daemon.call(request("POST", "/unsafe/x", "", "b"));
    assertThat(response).startsWith("HTTP/1.1 502");
    assertThat(written.get()).isAtMost(MAX_BYTES);
  }

  /** Each answer is within its limit, but not all together. */
  @Test
  void failAnswersThatFillTheMemoryTogether() throws Exception {
    RawServer.RequestHandler stalling =
        (request, socket) -> {
          write(socket, HEAD + "Content-Length: 4000000\r\n\r\n" + "x".repeat(3_000_000));
          return true;
        };
    daemon.first.setHandler(stalling);
    daemon.second.setHandler(stalling);
    ExecutorService callers = Executors.newCachedThreadPool();
    try {
      Callable<String> call = () -> daemon.call(request("POST", "/unsafe/x", "", "b"));
      assertThat(callers.invokeAny(Collections.nCopies(8, call))).startsWith("HTTP/1.1 502");
    } finally {
      callers.shutdownNow();
    }
  }
}
