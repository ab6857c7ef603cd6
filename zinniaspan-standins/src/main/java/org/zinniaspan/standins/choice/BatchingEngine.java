package org.zinniaspan.standins.choice;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.zinniaspan.routing.LoadReport;

/**
 * Simulated engine with continuous batching and a prefix cache.
 *
 * <p>It reads prompts one after the other and generates tokens for all running requests at once;
 * each running request adds to the time between tokens.
 */
final class BatchingEngine {

  static final int SLOTS = 8;
  private static final double BASE_MS_PER_TOKEN = 10;
  private static final double MS_PER_TOKEN_PER_REQUEST = 1;
  private static final double PREFILL_TOKENS_PER_MS = 4;
  private static final int CACHED_PREFIXES = 8;

  private record LoadSample(double atMs, int running, double msPerToken) {}

  private final String name;
  private final PreciseEventScheduler scheduler;
  private final List<SimulatedAttempt> running = new ArrayList<>();
  private final LinkedHashSet<Integer> cachedPrefixes = new LinkedHashSet<>();
  private final Deque<LoadSample> loadSamples = new ArrayDeque<>();
  private double prefillFreeMs;
  private double slowdown = 1;
  private boolean down;

  BatchingEngine(String name, PreciseEventScheduler scheduler) {
    this.name = name;
    this.scheduler = scheduler;
  }

  String name() {
    return name;
  }

  boolean isDown() {
    return down;
  }

  /** Multiplies the time of all work, as for a straggler; 1 is normal speed. */
  void setSlowdown(double value) {
    slowdown = value;
  }

  /** Breaks all streams; later connection attempts time out until {@link #restart}. */
  void crash() {
    down = true;
    List.copyOf(running).forEach(SimulatedAttempt::onBroken);
    running.clear();
  }

  /** Makes the engine reachable again. */
  void restart() {
    down = false;
  }

  /** Starts an attempt; its first token follows when its prompt has been read. */
  void accept(SimulatedAttempt attempt) {
    running.add(attempt);
    int uncachedTokens =
        attempt.promptTokens()
            - (lookUpAndCachePrefix(attempt.prefixId()) ? attempt.prefixTokens() : 0);
    double startMs = Math.max(scheduler.exactNowMs(), prefillFreeMs);
    prefillFreeMs = startMs + uncachedTokens / PREFILL_TOKENS_PER_MS * slowdown;
    scheduler.schedule(
        prefillFreeMs - scheduler.exactNowMs() + msPerToken(), () -> generateToken(attempt));
  }

  /** Returns whether the prefix is cached, and makes it the most recently used one. */
  private boolean lookUpAndCachePrefix(int prefixId) {
    boolean cached = cachedPrefixes.remove(prefixId);
    cachedPrefixes.add(prefixId);
    if (cachedPrefixes.size() > CACHED_PREFIXES) {
      cachedPrefixes.remove(cachedPrefixes.iterator().next());
    }
    return cached;
  }

  private void generateToken(SimulatedAttempt attempt) {
    if (!running.contains(attempt)) {
      return;
    }
    if (attempt.onToken()) {
      running.remove(attempt);
      attempt.onFinished();
    } else {
      scheduler.schedule(msPerToken(), () -> generateToken(attempt));
    }
  }

  void cancel(SimulatedAttempt attempt) {
    running.remove(attempt);
  }

  private double msPerToken() {
    return (BASE_MS_PER_TOKEN + MS_PER_TOKEN_PER_REQUEST * running.size()) * slowdown;
  }

  /** Adds the present load to the samples for later reports. */
  void recordLoad() {
    loadSamples.addLast(new LoadSample(scheduler.exactNowMs(), running.size(), msPerToken()));
  }

  /** Returns the newest load sample that is at least as old as the lag, else the oldest one. */
  LoadReport laggedReport(double lagMs) {
    while (loadSamples.size() > 1 && secondSampleAgeMs() >= lagMs) {
      loadSamples.removeFirst();
    }
    LoadSample load = loadSamples.getFirst();
    return new LoadReport(
        (long) load.atMs(), load.running(), 0, load.msPerToken(), 0, false, Set.of(), 0);
  }

  private double secondSampleAgeMs() {
    var samples = loadSamples.iterator();
    samples.next();
    return scheduler.exactNowMs() - samples.next().atMs();
  }
}
