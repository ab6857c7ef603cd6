package org.zinniaspan.standins.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.net.URIAuthority;
import org.zinniaspan.http.HttpClientExchange;
import org.zinniaspan.standins.site.LocalSite;

/**
 * A client that calls randomly chosen daemons, makes several calls on one connection, and resumes
 * streams that broke off.
 */
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

  /** Number of times that a broken stream is resumed. */
  private static final int MAX_RESUMES = 2;

  private static final List<String> PATHS = List.of("/unsafe/x", "/safe/x", "/chat/x");

  /** Id of the prompt part that crashes endpoints while the fault is active. */
  static final String CRASHING_PART = "dead";

  private static final int SUBJECT_COUNT = 5;
  private static final int PROMPTS_PER_CRASHING_ONE = 40;

  private final String attemptIdPrefix;
  private final Random random;

  /** Separate from the other choices, which seeds of earlier failures depend on. */
  private final Random prompts;

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
    this.prompts = new Random(attemptIdPrefix.hashCode());
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
    String attemptId = nextAttemptId();
    String path = PATHS.get(random.nextInt(PATHS.size()));
    int organisation = 1 + random.nextInt(SoakRun.ORGANISATION_COUNT);
    ClassicRequestBuilder request =
        (path.startsWith("/safe/") ? ClassicRequestBuilder.get(path) : post(path))
            .setHttpHost(new HttpHost(daemon.getHostString(), daemon.getPort()))
            .setHeader("X-Zinniaspan-Attempt-Id", attemptId)
            .setHeader("Authorization", "Bearer key-" + organisation);
    if (path.startsWith("/chat/")) {
      request.setHeader("X-Zinniaspan-Token-Usage", "320,30");
      request.setHeader("X-Zinniaspan-Prefix-Hash", nextPrompt(attemptId));
    }
    Result result = execute(connection, request);
    ObservedCall observed =
        result.toObservedCall(attemptId, attemptId, path, "org-key-" + organisation);
    observer.accept(observed);
    if (!result.complete() && path.startsWith("/chat/")) {
      resume(observed, "Bearer key-" + organisation);
    }
    return result.open();
  }

  /** Returns the parts of a prompt; few have the one that crashes endpoints while that is set. */
  private String nextPrompt(String attemptId) {
    String shared = "common:200,subject" + prompts.nextInt(SUBJECT_COUNT) + ":100,";
    boolean crashing = prompts.nextInt(PROMPTS_PER_CRASHING_ONE) == 0;
    return shared + (crashing ? CRASHING_PART + ":50," : "") + attemptId + ":20";
  }

  private String nextAttemptId() {
    attemptCount++;
    return attemptIdPrefix + '-' + attemptCount;
  }

  /** Resumes a broken stream after the events that arrived, each time at any daemon. */
  private void resume(ObservedCall first, String authorization) {
    List<ObservedCall.Event> events = first.events();
    int lastEvent = events.isEmpty() ? 0 : events.get(events.size() - 1).number();
    for (int i = 0; i < MAX_RESUMES && lastEvent > 0 && !stopped; i++) {
      List<InetSocketAddress> addresses = daemons.get();
      if (addresses.isEmpty()) {
        return;
      }
      InetSocketAddress daemon = addresses.get(random.nextInt(addresses.size()));
      String attemptId = nextAttemptId();
      ClassicRequestBuilder request =
          post(first.path())
              .setHttpHost(new HttpHost(daemon.getHostString(), daemon.getPort()))
              .setHeader("X-Zinniaspan-Attempt-Id", attemptId)
              .setHeader("Authorization", authorization)
              .setHeader("Last-Event-Id", String.valueOf(lastEvent))
              .setHeader("Resumes", first.attemptId());
      try (HttpClientExchange connection =
          HttpClientExchange.connect(daemon, CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS)) {
        Result result = execute(connection, request);
        ObservedCall observed =
            result.toObservedCall(attemptId, first.attemptId(), first.path(), first.organisation());
        observer.accept(observed);
        if (observed.isServed()) {
          return;
        }
        List<ObservedCall.Event> more = observed.events();
        lastEvent = more.isEmpty() ? lastEvent : more.get(more.size() - 1).number();
      } catch (IOException e) {
        // Nothing was sent; the next resume goes to any daemon again.
        LockSupport.parkNanos(RECONNECT_DELAY_NANOS);
      }
    }
  }

  /** What one exchange brought; {@code open} tells whether the connection can be used again. */
  private record Result(long sentMs, int status, String received, boolean complete, boolean open) {

    ObservedCall toObservedCall(
        String attemptId, String firstAttemptId, String path, String organisation) {
      return new ObservedCall(
          attemptId, firstAttemptId, path, organisation, sentMs, status, received, complete);
    }
  }

  private static Result execute(HttpClientExchange connection, ClassicRequestBuilder request) {
    long sentMs = System.currentTimeMillis();
    int status = 0;
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    boolean complete = false;
    boolean open = false;
    try {
      ClassicHttpResponse response = connection.execute(withHost(request));
      status = response.getCode();
      readBody(response, received);
      complete = true;
      open = !response.containsHeader("Connection");
    } catch (IOException | HttpException e) {
      // A missing or incomplete response guarantees nothing about the execution.
      complete = false;
    }
    return new Result(
        sentMs, status, received.toString(StandardCharsets.ISO_8859_1), complete, open);
  }

  private static void readBody(ClassicHttpResponse response, ByteArrayOutputStream received)
      throws IOException {
    try (InputStream content = response.getEntity().getContent()) {
      for (int next = content.read(); next >= 0; next = content.read()) {
        received.write(next);
      }
    }
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
