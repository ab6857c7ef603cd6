package org.zinniaspan.standins.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.net.URIAuthority;
import org.zinniaspan.http.HttpClientExchange;
import org.zinniaspan.standins.site.LocalSite;

/** A client that calls randomly chosen daemons and makes several calls on one connection. */
final class SoakClient implements Runnable {

  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /**
   * Longer than the longest route timeout, so that the client receives the router's own timeout
   * response.
   */
  private static final int READ_TIMEOUT_MS = 6_000;

  /** Delay before the next connection after a daemon could not be reached: 10 ms. */
  private static final long RECONNECT_DELAY_NANOS = 10_000_000;

  /** Upper limit of the calls on one connection; their number is random. */
  private static final int MAX_CALLS_PER_CONNECTION = 8;

  private static final List<String> PATHS = List.of("/unsafe/x", "/safe/x", "/chat/x");

  private final String attemptIdPrefix;
  private final Random random;
  private final Supplier<List<InetSocketAddress>> daemons;
  private final Consumer<ObservedCall> observer;
  private volatile boolean stopped;
  private int attemptCount;

  /**
   * Creates a client.
   *
   * @param attemptIdPrefix prefix of its attempt ids
   * @param random source of its random choices
   * @param daemons current addresses of the daemons
   * @param observer receives each finished call
   */
  SoakClient(
      String attemptIdPrefix,
      Random random,
      Supplier<List<InetSocketAddress>> daemons,
      Consumer<ObservedCall> observer) {
    this.attemptIdPrefix = attemptIdPrefix;
    this.random = random;
    this.daemons = daemons;
    this.observer = observer;
  }

  /** Stops the client after its current call. */
  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    while (!stopped) {
      List<InetSocketAddress> addresses = daemons.get();
      callOnOneConnection(
          addresses.get(random.nextInt(addresses.size())),
          1 + random.nextInt(MAX_CALLS_PER_CONNECTION));
    }
  }

  /**
   * Makes up to the given number of calls on one connection; ends early if a call fails or the
   * daemon closes the connection.
   */
  void callOnOneConnection(InetSocketAddress daemon, int calls) {
    try (HttpClientExchange connection =
        HttpClientExchange.connect(daemon, CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS)) {
      boolean open = true;
      for (int i = 0; i < calls && open && !stopped; i++) {
        open = call(connection, daemon);
      }
    } catch (IOException e) {
      // Nothing was sent: the daemon is down or paused, so the next call goes to another daemon.
      LockSupport.parkNanos(RECONNECT_DELAY_NANOS);
    }
  }

  private boolean call(HttpClientExchange connection, InetSocketAddress daemon) {
    attemptCount++;
    String attemptId = attemptIdPrefix + '-' + attemptCount;
    String path = PATHS.get(random.nextInt(PATHS.size()));
    int organisation = 1 + random.nextInt(SoakRun.ORGANISATION_COUNT);
    ClassicRequestBuilder request =
        (path.startsWith("/safe/") ? ClassicRequestBuilder.get(path) : post(path))
            .setHttpHost(new HttpHost(daemon.getHostString(), daemon.getPort()))
            .setHeader("X-Zinniaspan-Attempt-Id", attemptId)
            .setHeader("Authorization", "Bearer key-" + organisation);
    long sentMs = System.currentTimeMillis();
    int status = 0;
    Optional<String> body = Optional.empty();
    boolean open = false;
    try {
      ClassicHttpResponse response = connection.execute(withHost(request));
      status = response.getCode();
      body = Optional.of(EntityUtils.toString(response.getEntity()));
      open = !response.containsHeader("Connection");
    } catch (IOException | HttpException e) {
      // A missing or incomplete response guarantees nothing about the execution.
      open = false;
    }
    observer.accept(
        new ObservedCall(attemptId, path, "org-key-" + organisation, sentMs, status, body));
    return open;
  }

  private static ClassicRequestBuilder post(String path) {
    return ClassicRequestBuilder.post(path)
        .setEntity(new StringEntity("body", ContentType.TEXT_PLAIN));
  }

  private static ClassicHttpRequest withHost(ClassicRequestBuilder builder) {
    ClassicHttpRequest request = builder.build();
    request.setAuthority(new URIAuthority(LocalSite.ROUTE_HOST));
    return request;
  }
}
