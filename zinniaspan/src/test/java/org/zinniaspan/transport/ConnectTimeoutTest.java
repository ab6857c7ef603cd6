package org.zinniaspan.transport;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.zinniaspan.lifecycle.Closer;

/** Connections to a listener whose queue is full, so that they are never established. */
@Timeout(60)
class ConnectTimeoutTest {

  private static final long CONNECT_TIMEOUT_MS = 20;
  private static final int CONNECTIONS = 20;

  private final Closer closer = new Closer();
  private final List<Socket> queued = new ArrayList<>();
  private Reactor reactor;
  private InetSocketAddress address;

  @BeforeEach
  void start() throws IOException {
    reactor = closer.add(Reactor.start(() -> {}));
    ServerSocket full = closer.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
    address = new InetSocketAddress("127.0.0.1", full.getLocalPort());
    for (int i = 0; i < 4; i++) {
      Socket socket = closer.add(new Socket());
      try {
        socket.connect(address, 100);
      } catch (SocketTimeoutException e) {
        // The queue is full.
      }
      queued.add(socket);
    }
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  @Test
  void failAtTheirTimeoutOneAfterTheOther() throws Exception {
    long startNanos = System.nanoTime();
    for (int i = 0; i < CONNECTIONS; i++) {
      assertThat(connectAndFail()).isFalse();
    }
    long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    assertThat(tookMs).isAtLeast(CONNECTIONS * CONNECT_TIMEOUT_MS);
    assertThat(tookMs).isLessThan(CONNECTIONS * 250);
  }

  /** Returns whether the connection was opened before it failed. */
  private boolean connectAndFail() throws Exception {
    CompletableFuture<Boolean> lost = new CompletableFuture<>();
    reactor.runLocked(
        () ->
            OutboundConnection.open(
                    reactor,
                    address,
                    CONNECT_TIMEOUT_MS,
                    new BufferBudget(Long.MAX_VALUE),
                    idle -> {})
                .send(new BasicHttpRequest("GET", "/x"), new byte[0], new LossHandler(lost)));
    return lost.get(10, TimeUnit.SECONDS);
  }

  private record LossHandler(CompletableFuture<Boolean> lost) implements ResponseHandler {
    @Override
    public boolean onHead(HttpResponse head) {
      return true;
    }

    @Override
    public void onBody(ByteBuffer part) {
      // No response is expected.
    }

    @Override
    public void onEnd() {
      // No response is expected.
    }

    @Override
    public void onFault(RuntimeException cause) {
      // No response is expected.
    }

    @Override
    public void onConnectionLost(boolean opened, Optional<Exception> cause) {
      lost.complete(opened);
    }
  }
}
