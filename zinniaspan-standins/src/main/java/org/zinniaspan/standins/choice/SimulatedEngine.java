package org.zinniaspan.standins.choice;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.zinniaspan.routing.LoadReport;

/** An engine that reads prompts one after the other and generates for all requests at once. */
final class SimulatedEngine {

  static final int SLOTS = 8;
  private static final double BASE_MS_PER_TOKEN = 10;
  private static final double MS_PER_TOKEN_PER_REQUEST = 1;
  private static final double PREFILL_TOKENS_PER_MS = 4;
  private static final int CACHED_FAMILIES = 8;

  private record Load(double atMs, int running, double msPerToken) {}

  private final String name;
  private final Timeline timeline;
  private final List<SimulatedAttempt> running = new ArrayList<>();
  private final LinkedHashSet<Integer> cache = new LinkedHashSet<>();
  private final Deque<Load> history = new ArrayDeque<>();
  private double prefillFreeMs;
  private double slowdown = 1;
  private boolean dead;

  SimulatedEngine(String name, Timeline timeline) {
    this.name = name;
    this.timeline = timeline;
  }

  String name() {
    return name;
  }

  boolean isDead() {
    return dead;
  }

  void setSlowdown(double value) {
    slowdown = value;
  }

  /** Cuts all streams and answers no connection. */
  void die() {
    dead = true;
    List.copyOf(running).forEach(SimulatedAttempt::onBroken);
    running.clear();
  }

  void revive() {
    dead = false;
  }

  void accept(SimulatedAttempt attempt) {
    running.add(attempt);
    int toRead = attempt.promptTokens() - (isCached(attempt.family()) ? attempt.prefixTokens() : 0);
    double startMs = Math.max(timeline.exactMs(), prefillFreeMs);
    prefillFreeMs = startMs + toRead / PREFILL_TOKENS_PER_MS * slowdown;
    timeline.after(prefillFreeMs - timeline.exactMs() + msPerToken(), () -> token(attempt));
  }

  private boolean isCached(int family) {
    boolean cached = cache.remove(family);
    cache.add(family);
    if (cache.size() > CACHED_FAMILIES) {
      cache.remove(cache.iterator().next());
    }
    return cached;
  }

  private void token(SimulatedAttempt attempt) {
    if (!running.contains(attempt)) {
      return;
    }
    if (attempt.onToken()) {
      running.remove(attempt);
      attempt.onFinished();
    } else {
      timeline.after(msPerToken(), () -> token(attempt));
    }
  }

  void cancel(SimulatedAttempt attempt) {
    running.remove(attempt);
  }

  private double msPerToken() {
    return (BASE_MS_PER_TOKEN + MS_PER_TOKEN_PER_REQUEST * running.size()) * slowdown;
  }

  void recordLoad() {
    history.addLast(new Load(timeline.exactMs(), running.size(), msPerToken()));
  }

  /** Returns the newest report that is at least as old as the lag. */
  LoadReport report(double lagMs) {
    while (history.size() > 1 && secondAgeMs() >= lagMs) {
      history.removeFirst();
    }
    Load load = history.getFirst();
    return new LoadReport(
        (long) load.atMs(), load.running(), 0, load.msPerToken(), 0, false, Set.of(), 0);
  }

  private double secondAgeMs() {
    var loads = history.iterator();
    loads.next();
    return timeline.exactMs() - loads.next().atMs();
  }
}
