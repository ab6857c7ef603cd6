package org.zinniaspan.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against malformed heads being taken for responses by the blocking client. */
@Timeout(60)
class MalformedResponseTest {

  private static final String HOST = "127.0.0.3";
  private static final int TIMEOUT_MS = 5_000;

  private static int statusOf(String head) throws IOException, HttpException {
    try (ServerSocket listener = new ServerSocket()) {
      listener.bind(new InetSocketAddress(HOST, 0));
      InetSocketAddress address = new InetSocketAddress(HOST, listener.getLocalPort());
      try (HttpClientExchange exchange =
              HttpClientExchange.connect(address, TIMEOUT_MS, TIMEOUT_MS);
          Socket server = listener.accept()) {
        String response = head + "\r\nContent-Length: 0\r\n\r\n";
        server.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
        ClassicHttpRequest request =
            ClassicRequestBuilder.get("/x").setHttpHost(new HttpHost(HOST, 80)).build();
        exchange.send(request);
        return exchange.receive().getCode();
      }
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 OK",
        "HTTP/1.1 600 Odd",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 200 OK\r\nX Name: v",
        "HTTP/1.1 200 OK\r\nX-\2Name: v",
        "HTTP/1.1 200 OK\r\nContent-\2Length: 4",
        "HTTP/1.1 200 OK\r\nX-Name: \0"
      })
  void isAnError(String head) {
    assertThrows(HttpException.class, () -> statusOf(head));
  }

  @Test
  void doesNotIncludeUnusualOnes() throws IOException, HttpException {
    assertThat(statusOf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 599\r\nX!~: ü")).isEqualTo(599);
  }
}
