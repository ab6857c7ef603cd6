package org.zinniaspan.transport;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.forwarding.InboundLimits;

/** A process whose I/O thread had ended lived on without listening, and nothing restarted it. */
class ReactorTest {

  private static final long TIMEOUT_S = 20;
  private static final Set<String> THREADS = Set.of("io", "accept", "timers");

  private final Semaphore failures = new Semaphore(0);
  private final Reactor reactor = Reactor.start(failures::release);

  @AfterEach
  void stop() {
    reactor.close();
  }

  private boolean awaitFailure() throws InterruptedException {
    return failures.tryAcquire(TIMEOUT_S, TimeUnit.SECONDS);
  }

  /** Closes the reactor and waits until its threads have ended. */
  private void closeAndAwait() throws InterruptedException {
    List<Thread> threads =
        Thread.getAllStackTraces().keySet().stream()
            .filter(thread -> THREADS.contains(thread.getName()))
            .toList();
    reactor.close();
    for (Thread thread : threads) {
      thread.join(TimeUnit.SECONDS.toMillis(TIMEOUT_S));
      assertThat(thread.isAlive()).isFalse();
    }
  }

  private static OutOfMemoryError error() {
    return new OutOfMemoryError("thrown by the test");
  }

  private static InboundHandler throwing() {
    return (InboundHandler)
        Proxy.newProxyInstance(
            InboundHandler.class.getClassLoader(),
            new Class<?>[] {InboundHandler.class},
            (proxy, method, args) -> {
              if (method.getName().equals("limits")) {
                return InboundLimits.DEFAULT;
              }
              throw error();
            });
  }

  @Nested
  class ReportsOnce {

    @Test
    void anErrorOfTheIoThread() throws Exception {
      InetSocketAddress address = freeAddress();
      reactor.listen(address, () -> new InboundConnection(reactor, throwing(), () -> 0));
      try (Socket client = new Socket(address.getAddress(), address.getPort())) {
        client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
        assertThat(awaitFailure()).isTrue();
      }
      closeAndAwait();
      assertThat(failures.tryAcquire()).isFalse();
    }

    @Test
    void anErrorOfTimers() throws Exception {
      reactor.scheduleEvery(
          1,
          () -> {
            throw error();
          });
      assertThat(awaitFailure()).isTrue();
      closeAndAwait();
      assertThat(failures.tryAcquire()).isFalse();
    }

    private InetSocketAddress freeAddress() throws IOException {
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        return (InetSocketAddress) socket.getLocalSocketAddress();
      }
    }
  }

  @Test
  void goesOnAfterExceptionsOfTimers() throws Exception {
    CountDownLatch runs = new CountDownLatch(3);
    reactor.scheduleEvery(
        1,
        () -> {
          runs.countDown();
          throw new IllegalStateException("thrown by the test");
        });
    assertThat(runs.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    assertThat(failures.tryAcquire()).isFalse();
  }

  @Test
  void reportsNothingWhenItIsClosed() throws InterruptedException {
    closeAndAwait();
    assertThat(failures.tryAcquire()).isFalse();
  }
}
