package org.zinniaspan.standins.simulation;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.LongConsumer;
import org.zinniaspan.routing.LoadReport;

/** An engine with a fixed number of slots; what exceeds them waits inside, by tier. */
final class SimulatedEngine {

  private static final double PREFILL_TOKENS_PER_SECOND = 4_000;

  /** Milliseconds between two tokens of an answer. */
  static final double TOKEN_MS = 10;

  /** Milliseconds from the start of a request to its first token. */
  static final long PREFILL_MS = 50;

  /** A request in the engine. */
  static final class Work {
    final int tier;
    final int tokens;
    final LongConsumer onFirstToken;
    final Runnable onEnd;
    private long order;
    private long startedMs;

    Work(int tier, int tokens, LongConsumer onFirstToken, Runnable onEnd) {
      this.tier = tier;
      this.tokens = tokens;
      this.onFirstToken = onFirstToken;
      this.onEnd = onEnd;
    }
  }

  private final EventQueue time;
  private final int slots;
  private final Set<Work> running = new HashSet<>();
  private final PriorityQueue<Work> waiting =
      new PriorityQueue<>(
          Comparator.<Work>comparingInt(work -> work.tier).thenComparingLong(work -> work.order));
  private long nextOrder;

  SimulatedEngine(EventQueue time, int slots) {
    this.time = time;
    this.slots = slots;
  }

  void submit(Work work) {
    work.order = nextOrder++;
    waiting.add(work);
    startNext();
  }

  /** Stops a request, and returns the tokens that it has not produced. */
  int cancel(Work work) {
    waiting.remove(work);
    boolean ran = running.remove(work);
    long ranMs = ran ? Math.max(0, time.nowMs() - work.startedMs - PREFILL_MS) : 0;
    startNext();
    return Math.max(1, work.tokens - (int) (ranMs / TOKEN_MS));
  }

  LoadReport report() {
    return new LoadReport(
        time.nowMs(),
        running.size(),
        waiting.size(),
        TOKEN_MS,
        PREFILL_TOKENS_PER_SECOND,
        false,
        Set.of(SlotSimulation.MODEL),
        0);
  }

  private void startNext() {
    while (running.size() < slots && !waiting.isEmpty()) {
      start(waiting.poll());
    }
  }

  private void start(Work work) {
    running.add(work);
    work.startedMs = time.nowMs();
    time.after(PREFILL_MS, () -> ifRunning(work, () -> work.onFirstToken.accept(time.nowMs())));
    time.after(
        PREFILL_MS + (long) (work.tokens * TOKEN_MS), () -> ifRunning(work, () -> finish(work)));
  }

  private void ifRunning(Work work, Runnable action) {
    if (running.contains(work)) {
      action.run();
    }
  }

  private void finish(Work work) {
    running.remove(work);
    startNext();
    work.onEnd.run();
  }
}
