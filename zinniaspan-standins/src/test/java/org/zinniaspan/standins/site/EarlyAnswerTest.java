package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.STAMP;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.request;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.zinniaspan.lifecycle.Closer;

/**
 * Endpoints that answer before they have read the body of a request, without stating the end of
 * their answer.
 *
 * <p>Guards against the part of an answer before a reset being passed on as a complete one.
 */
@Timeout(60)
class EarlyAnswerTest {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nX-Zinniaspan-Attempt-Id: a1\r\n" + STAMP + "\r\n";

  /** How an endpoint ends the connection after its answer. */
  private enum End {
    /** Resets it at once. */
    RESET,
    /** Ends its output and closes it with unread bytes of the request, which resets it. */
    CLOSE_UNREAD,
    /** Ends its output, and resets the connection after it has read a part of the request. */
    SHUT_DOWN_AND_RESET,
    /** Ends its output, and reads the rest of the request. */
    LINGER
  }

  @RegisterExtension final ForwardDaemonFixture daemon = new ForwardDaemonFixture();

  private final Closer closer = new Closer();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private ServerSocket listener;

  @BeforeEach
  void listen() throws IOException {
    listener = closer.add(new ServerSocket());
    // So that most of a long request stays with its sender until it is read.
    listener.setReceiveBufferSize(8 * 1024);
    listener.bind(new InetSocketAddress("127.0.0.1", 0));
    daemon.store.delete("servers/i-2");
    daemon.store.put(
        "servers/i-1",
        "{\"service\":\"app\",\"address\":\"127.0.0.1:"
            + listener.getLocalPort()
            + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,"
            + "\"state\":\"ready\",\"born\":2}");
    daemon.publishTenantsAndAwait(5, ForwardDaemonFixture.tenants("key-1"));
  }

  @AfterEach
  void stop() {
    closer.close();
    threads.shutdownNow();
  }

  /** Answers each connection's request after some bytes of it, and ends the connection. */
  private void answerEarly(int readBytes, String answer, End end) {
    threads.execute(
        () -> {
          try {
            while (true) {
              Socket socket = listener.accept();
              threads.execute(() -> answer(socket, readBytes, answer, end));
            }
          } catch (IOException | RejectedExecutionException e) {
            // The listener was closed.
          }
        });
  }

  private static void answer(Socket accepted, int readBytes, String answer, End end) {
    try (Socket socket = accepted) {
      InputStream in = socket.getInputStream();
      if (in.readNBytes(readBytes).length < readBytes) {
        return;
      }
      socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
      switch (end) {
        case RESET -> socket.setSoLinger(true, 0);
        case SHUT_DOWN_AND_RESET -> {
          socket.shutdownOutput();
          in.readNBytes(1_000);
          socket.setSoLinger(true, 0);
        }
        case LINGER -> {
          socket.shutdownOutput();
          in.readAllBytes();
        }
        default -> {
          // Closed with unread bytes.
        }
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    }
  }

  @ParameterizedTest
  @CsvSource({
    "RESET, 3500000, 300",
    "RESET, 3500000, 100000",
    "RESET, 3500000, 2000000",
    "RESET, 200000, 300",
    "CLOSE_UNREAD, 3500000, 300",
    "SHUT_DOWN_AND_RESET, 3500000, 300",
  })
  void areNotCompleteIfTheyEndWithReset(End end, int uploadBytes, int readBytes)
      throws IOException {
    answerEarly(readBytes, HEAD + "part of the body", end);
    for (int i = 0; i < 5; i++) {
      String body = "x".repeat(uploadBytes);
      assertWithMessage("%s", i)
          .that(daemon.call(request("POST", "/unsafe/x", "", body)))
          .startsWith("HTTP/1.1 502");
      assertThat(daemon.call(request("POST", "/safe/x", "", body))).startsWith("HTTP/1.1 50");
    }
  }

  @ParameterizedTest
  @CsvSource({"RESET, 300", "CLOSE_UNREAD, 300", "SHUT_DOWN_AND_RESET, 300"})
  void ofStreamsAreNotCompleteIfTheyEndWithReset(End end, int readBytes) throws IOException {
    answerEarly(readBytes, HEAD + "id: 1\ndata: a\n\n", end);
    for (int i = 0; i < 5; i++) {
      String response = daemon.call(request("POST", "/chat/x", "", "x".repeat(3_500_000)));
      assertWithMessage("%s", i).that(response).doesNotContain("\r\n0\r\n");
    }
  }

  @Test
  void areCompleteIfTheyStateTheirEnd() throws IOException {
    String head = HEAD.replace(STAMP, STAMP + "Content-Length: 14\r\n");
    answerEarly(300, head + "the whole body", End.LINGER);
    String response = daemon.call(request("POST", "/unsafe/x", "", "x".repeat(3_500_000)));
    assertThat(response).startsWith("HTTP/1.1 200");
    assertThat(response).endsWith("the whole body");
  }
}
