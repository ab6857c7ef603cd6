package org.zinniaspan.http;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.EndpointKind;
import org.zinniaspan.inventory.ServiceClass;
import org.zinniaspan.stream.ChatCall;
import org.zinniaspan.stream.EngineStream;
import org.zinniaspan.stream.OpenResult;
import org.zinniaspan.stream.StreamEvent;

class SseEngineStreamTest {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
  private static final String TOKEN =
      "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"one \"}}]}\n\n";
  private static final String STOP =
      "data: {\"id\":\"a\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";
  private static final String DONE = "data: [DONE]\n\n";

  private ServerSocket server;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
  }

  @AfterEach
  void close() throws IOException {
    server.close();
  }

  private EngineStream open() {
    String address = "127.0.0.1:" + server.getLocalPort();
    Endpoint endpoint =
        new Endpoint("e1", EndpointKind.ENGINE, "z", address, List.of("m"), "", 1, false, 0);
    ChatCall call =
        new ChatCall(
            "r",
            "o",
            new ServiceClass("c", 0, 1_000, 0, 0, 0, false),
            "m",
            JsonNodeFactory.instance.objectNode(),
            1,
            1,
            List.of(),
            0);
    OpenResult result = new OpenAiEngineClient().open(endpoint, call, "r-1", 0);
    return ((OpenResult.Opened) result).stream();
  }

  private Socket acceptAndRespond(String response) throws IOException {
    Socket socket = server.accept();
    InputStream in = socket.getInputStream();
    while (in.read() != '}') {
      // Skips the request, which ends with the closing brace of its JSON body.
    }
    socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
    return socket;
  }

  private StreamEvent lastEventOf(String response) throws IOException {
    EngineStream stream = open();
    acceptAndRespond(response).close();
    StreamEvent event = stream.next();
    while (event instanceof StreamEvent.Token) {
      event = stream.next();
    }
    return event;
  }

  private void assertBroken(String response, String reason) throws IOException {
    StreamEvent event = lastEventOf(response);
    assertThat(event).isInstanceOf(StreamEvent.Broken.class);
    assertThat(((StreamEvent.Broken) event).reason()).contains(reason);
  }

  @Test
  void completeResponseIsFinished() throws IOException {
    assertThat(lastEventOf(HEAD + TOKEN + STOP + DONE)).isEqualTo(new StreamEvent.Finished("stop"));
  }

  @Nested
  class MalformedResponses {
    @Test
    void malformedJsonBreaks() throws IOException {
      assertBroken(HEAD + TOKEN + "data: {\"choices\":[\n\n", "not JSON");
    }

    @Test
    void wrongContentTypeBreaks() throws IOException {
      assertBroken(
          HEAD.replace("text/event-stream", "text/html") + "<p>", "content type is 'text/html'");
    }

    @Test
    void oversizedLineBreaks() throws IOException {
      assertBroken(HEAD + "data: " + "x".repeat(70_000), "a line is longer than 65536 bytes");
    }

    @Test
    void endWithoutFinishReasonBreaks() throws IOException {
      assertBroken(HEAD + TOKEN + DONE, "without a finish reason");
    }

    @Test
    void closeBeforeTheEndBreaks() throws IOException {
      assertBroken(HEAD + TOKEN + STOP, "closed before the end");
    }

    @Test
    void tokenOfAnotherCompletionBreaks() throws IOException {
      assertBroken(HEAD + TOKEN + TOKEN.replace("\"a\"", "\"b\""), "another answer");
    }

    @Test
    void responseToAnotherAttemptBreaks() throws IOException {
      String head = HEAD.replace("Connection", "X-Request-Id: r-9\r\nConnection");
      assertBroken(head + TOKEN, "belongs to attempt 'r-9'");
    }

    @Test
    void tokenAfterTheFinishReasonBreaks() throws IOException {
      assertBroken(HEAD + STOP + TOKEN + DONE, "after the finish reason");
    }

    @Test
    void errorEventBreaks() throws IOException {
      assertBroken(HEAD + TOKEN + "data: {\"error\":{\"message\":\"gone\"}}\n\n", "gone");
    }

    @Test
    void responseThatIsNotHttpBreaks() throws IOException {
      assertThat(lastEventOf("rubbish\r\n\r\n")).isInstanceOf(StreamEvent.Broken.class);
    }
  }

  @Nested
  class Rejections {
    @Test
    void rejectionCarriesStatusMessageAndLeavingHeader() throws IOException {
      String response =
          "HTTP/1.1 503 X\r\nX-Engine-Leaving: true\r\nContent-Length: 30\r\n\r\n"
              + "{\"error\":{\"message\":\"leaves\"}}";
      assertThat(lastEventOf(response)).isEqualTo(new StreamEvent.Rejected(503, true, "leaves"));
    }
  }

  @Nested
  class ReadTimeouts {
    @Test
    void timeoutReportsWaitingAndLosesNoBytes() throws IOException {
      EngineStream stream = open();
      assertThat(stream.next(1)).isInstanceOf(StreamEvent.Waiting.class);
      try (Socket socket = acceptAndRespond(HEAD + TOKEN.substring(0, 30))) {
        assertThat(stream.next(20)).isInstanceOf(StreamEvent.Waiting.class);
        byte[] rest = TOKEN.substring(30).getBytes(StandardCharsets.UTF_8);
        socket.getOutputStream().write(rest);
        assertThat(stream.next()).isEqualTo(new StreamEvent.Token("one "));
      }
    }
  }
}
