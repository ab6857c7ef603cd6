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

/** Sends the requests of one run at their times, whatever became of the earlier ones. */
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
   * Creates a run.
   *
   * @param balancer chooses the entry VM of each attempt
   * @param keys keys of the organisations
   * @param targets latency targets by class
   * @param engineProfile pace of the engines
   * @param retries how often a refused request is sent again after its Retry-After
   * @param runName part of each idempotency key
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

  /** Sends all requests and waits for their ends. */
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
    long left = dueNanos - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = dueNanos - System.nanoTime();
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

  /** Returns the figures of each class. */
  List<ClassStats.Row> rows() {
    List<ClassStats.Row> rows = new ArrayList<>();
    statsByClass.forEach((name, value) -> rows.add(value.toRow(name)));
    return rows;
  }

  /** Returns the tokens of whole answers. */
  long answeredTokens() {
    return statsByClass.values().stream().mapToLong(ClassStats::answeredTokens).sum();
  }

  /** Returns the milliseconds of whole engines that answers in time took. */
  double attainedEngineMs() {
    return statsByClass.values().stream().mapToDouble(ClassStats::attainedEngineMs).sum();
  }

  /** Returns the longest time by which a request was sent too late, in milliseconds. */
  double worstStartDelayMs() {
    return worstStartDelayMs;
  }
}
