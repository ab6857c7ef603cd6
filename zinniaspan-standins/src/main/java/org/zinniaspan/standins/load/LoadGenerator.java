package org.zinniaspan.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.zinniaspan.standins.caller.CallerClient;
import org.zinniaspan.standins.caller.CallerClient.ChatRequest;
import org.zinniaspan.standins.caller.CallerClient.ServiceRequest;
import org.zinniaspan.standins.caller.CallerResult;
import org.zinniaspan.standins.engine.EngineProfile;

/**
 * Open-loop load generator: sends each request when it is due, whether or not earlier ones have
 * been answered, and collects the results by class.
 */
final class LoadGenerator {

  private static final double NANOS_PER_MS = 1_000_000.0;
  private static final long MS_PER_SECOND = 1_000;
  private static final int CALLER_STACK_BYTES = 256 * 1024;
  private static final long COMPLETION_TIMEOUT_SECONDS = 60;

  private final RoundRobinBalancer balancer;
  private final List<String> keys;
  private final Map<String, LatencyTargets> targets;
  private final EngineProfile engineProfile;
  private final int retries;
  private final String runName;
  private final Map<String, ClassStats> statsByClass = new TreeMap<>();
  private volatile double worstStartDelayMs;

  /**
   * Creates the load generator of one run.
   *
   * @param balancer chooses the entry VM of each attempt
   * @param keys API keys of the organisations, by index
   * @param targets latency targets by class
   * @param engineProfile speed of the engines, to estimate the engine time of answers
   * @param retries how many times a request is sent again after the time in Retry-After
   * @param runName prefix of the idempotency keys
   */
  LoadGenerator(
      RoundRobinBalancer balancer,
      List<String> keys,
      Map<String, LatencyTargets> targets,
      EngineProfile engineProfile,
      int retries,
      String runName) {
    this.balancer = balancer;
    this.keys = List.copyOf(keys);
    this.targets = Map.copyOf(targets);
    this.engineProfile = engineProfile;
    this.retries = retries;
    this.runName = runName;
  }

  /**
   * Sends all requests and waits until they have ended, at most 60 s after the last was sent; then
   * interrupts those still running.
   */
  void send(List<Arrival> arrivals) throws InterruptedException {
    arrivals.forEach(
        a -> statsByClass.computeIfAbsent(a.kind().serviceClass(), c -> new ClassStats()));
    ExecutorService threads = Executors.newCachedThreadPool(LoadGenerator::newCallerThread);
    CountDownLatch pending = new CountDownLatch(arrivals.size());
    long startNanos = System.nanoTime();
    for (Arrival arrival : arrivals) {
      long dueNanos = startNanos + (long) (arrival.atMs() * NANOS_PER_MS);
      parkUntil(dueNanos);
      threads.execute(
          () -> {
            try {
              recordStartDelay(dueNanos);
              sendWithRetries(arrival);
            } finally {
              pending.countDown();
            }
          });
    }
    pending.await(COMPLETION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    threads.shutdownNow();
  }

  private static Thread newCallerThread(Runnable work) {
    Thread thread = new Thread(null, work, "caller", CALLER_STACK_BYTES);
    thread.setDaemon(true);
    return thread;
  }

  private static void parkUntil(long dueNanos) {
    long remainingNanos = dueNanos - System.nanoTime();
    while (remainingNanos > 0) {
      LockSupport.parkNanos(remainingNanos);
      remainingNanos = dueNanos - System.nanoTime();
    }
  }

  private synchronized void recordStartDelay(long dueNanos) {
    double delayMs = (System.nanoTime() - dueNanos) / NANOS_PER_MS;
    worstStartDelayMs = Math.max(worstStartDelayMs, delayMs);
  }

  private void sendWithRetries(Arrival arrival) {
    final ClassStats classStats = statsByClass.get(arrival.kind().serviceClass());
    final long startNanos = System.nanoTime();
    CallerClient caller =
        new CallerClient(keys.get(arrival.organisation()), classStats::recordTokenGap);
    double beforeAttemptMs = 0;
    CallerResult result = sendOnce(caller, arrival);
    for (int i = 0; i < retries && result.retryAfterSeconds().isPresent(); i++) {
      long waitMs = result.retryAfterSeconds().get() * MS_PER_SECOND;
      LockSupport.parkNanos((long) (waitMs * NANOS_PER_MS));
      beforeAttemptMs = (System.nanoTime() - startNanos) / NANOS_PER_MS;
      result = sendOnce(caller, arrival);
    }
    LatencyTargets classTargets = targets.get(arrival.kind().serviceClass());
    double engineMs = arrival.kind().engineMs(engineProfile, arrival.tokens());
    classStats.recordEnd(
        result, classTargets.areMet(result, beforeAttemptMs), beforeAttemptMs, engineMs);
  }

  private CallerResult sendOnce(CallerClient caller, Arrival arrival) {
    RequestKind kind = arrival.kind();
    if (kind.chat().isPresent()) {
      RequestKind.Chat chat = kind.chat().get();
      String prompt = Prompts.of(arrival, chat);
      Optional<String> serviceClass = Optional.of(kind.serviceClass());
      return caller.chat(
          balancer.nextAddress(), new ChatRequest(chat.model(), prompt, serviceClass, true));
    }
    RequestKind.Call call = kind.call().orElseThrow();
    Optional<String> key =
        call.hasIdempotencyKey() ? Optional.of(runName + "-" + arrival.number()) : Optional.empty();
    String body = call.hasIdempotencyKey() ? "{\"amount\":1}" : "";
    return caller.call(
        balancer.nextAddress(), new ServiceRequest(call.method(), call.path(), body, key));
  }

  /** Returns the results of each class, sorted by its name. */
  List<ClassStats.Row> rows() {
    List<ClassStats.Row> rows = new ArrayList<>();
    statsByClass.forEach((name, value) -> rows.add(value.toRow(name)));
    return rows;
  }

  /** Returns the tokens of complete answers. */
  long answeredTokens() {
    return statsByClass.values().stream().mapToLong(ClassStats::answeredTokens).sum();
  }

  /** Returns the estimated engine time of the answers that met their targets, in milliseconds. */
  double attainedEngineMs() {
    return statsByClass.values().stream().mapToDouble(ClassStats::attainedEngineMs).sum();
  }

  /** Returns the longest delay between a request's due time and its sending, in milliseconds. */
  double worstStartDelayMs() {
    return worstStartDelayMs;
  }
}
