package org.zinniaspan.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HttpListenerTest {

  private static final String HOST = "127.0.0.3";

  private static HttpListener start(int port) throws IOException {
    return HttpListener.start(
        new InetSocketAddress(HOST, port), (request, response, context) -> response.setCode(200));
  }

  @Test
  void listensAgainAtOnceWhereConnectionsWereOpen() throws IOException {
    HttpListener first = start(0);
    int port = first.port();
    try (Socket client = new Socket(HOST, port)) {
      client
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      assertThat(client.getInputStream().read()).isEqualTo('H');
      first.close();
      HttpListener second = start(port);
      assertThat(second.port()).isEqualTo(port);
      second.close();
    }
  }

  /** Guards against the first part of a path being taken for a host. */
  @Test
  void passesPathsOnAsTheyWereSent() throws Exception {
    BlockingQueue<String> paths = new LinkedBlockingQueue<>();
    try (HttpListener listener =
        HttpListener.start(
            new InetSocketAddress(HOST, 0),
            (request, response, context) -> {
              paths.add(request.getPath());
              response.setCode(200);
            })) {
      for (String path : List.of("//services/app/x", "///x", "/a#b", "/a//b?c=//d")) {
        try (Socket client = new Socket(HOST, listener.port())) {
          String head = "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
          client.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
          assertThat(paths.poll(10, TimeUnit.SECONDS)).isEqualTo(path);
        }
      }
    }
  }

  @Test
  void namesTheAddressThatCannotBeBound() throws IOException {
    HttpListener first = start(0);
    try {
      IOException thrown = assertThrows(IOException.class, () -> start(first.port()));
      assertThat(thrown).hasMessageThat().contains(HOST + ":" + first.port());
    } finally {
      first.close();
    }
  }
}
