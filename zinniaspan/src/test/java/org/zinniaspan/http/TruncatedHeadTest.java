package org.zinniaspan.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Messages that are broken off with an orderly close, at each of their bytes.
 *
 * <p>Guards against the end of the input being taken for the end of a head or of a chunked body.
 */
@Timeout(60)
class TruncatedHeadTest {

  private static final String HOST = "127.0.0.3";
  private static final int TIMEOUT_MS = 5_000;
  private static final String LENGTH_DELIMITED = "Content-Length: 12\r\n\r\nhello, world";
  private static final String CHUNKED =
      "Transfer-Encoding: chunked\r\n\r\n05\r\nhello\r\n00\r\nX-Trailer: t\r\n\r\n";

  private static void write(Socket socket, String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  @Nested
  class Responses {

    private String read(ServerSocket listener, String response) throws Exception {
      InetSocketAddress address = new InetSocketAddress(HOST, listener.getLocalPort());
      try (HttpClientExchange exchange =
              HttpClientExchange.connect(address, TIMEOUT_MS, TIMEOUT_MS);
          Socket server = listener.accept()) {
        write(server, response);
        server.shutdownOutput();
        ClassicHttpResponse head =
            exchange.execute(
                ClassicRequestBuilder.get("/x")
                    .setHttpHost(new HttpHost(HOST, address.getPort()))
                    .build());
        return new String(
            BodyReader.read(head.getEntity(), 100).orElseThrow(), StandardCharsets.US_ASCII);
      }
    }

    @ParameterizedTest
    @ValueSource(strings = {LENGTH_DELIMITED, CHUNKED})
    void areErrors(String rest) throws Exception {
      String whole = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + rest;
      try (ServerSocket listener = new ServerSocket()) {
        listener.bind(new InetSocketAddress(HOST, 0));
        for (int length = 0; length < whole.length(); length++) {
          String part = whole.substring(0, length);
          assertThrows(Exception.class, () -> read(listener, part), part);
        }
        assertThat(read(listener, whole)).startsWith("hello");
      }
    }
  }

  @Nested
  class Requests {

    /** Sends a request and waits until the listener has closed the connection. */
    private static void send(int port, String request) throws IOException {
      try (Socket client = new Socket(HOST, port)) {
        client.setSoTimeout(TIMEOUT_MS);
        write(client, request);
        client.shutdownOutput();
        client.getInputStream().readAllBytes();
      } catch (SocketException e) {
        // The listener has reset the connection.
      }
    }

    @Test
    void areNotHandled() throws IOException {
      AtomicInteger handled = new AtomicInteger();
      try (HttpListener listener =
          HttpListener.start(
              new InetSocketAddress(HOST, 0),
              (request, response, context) -> {
                handled.incrementAndGet();
                response.setCode(200);
              })) {
        String whole = "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Id: 12\r\n\r\n";
        for (int length = 1; length < whole.length(); length++) {
          send(listener.port(), whole.substring(0, length));
          assertWithMessage("cut after %s bytes", length).that(handled.get()).isEqualTo(0);
        }
        send(listener.port(), whole);
        assertThat(handled.get()).isEqualTo(1);
      }
    }
  }
}
