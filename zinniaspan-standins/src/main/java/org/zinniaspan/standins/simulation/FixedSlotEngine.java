package org.zinniaspan.standins.simulation;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.LongConsumer;
import org.zinniaspan.routing.LoadReport;

/**
 * Simulated engine that runs a fixed number of requests at constant speed.
 *
 * <p>Further requests wait in the engine, lowest tier number first, then in order of arrival.
 */
final class FixedSlotEngine {

  private static final double PREFILL_TOKENS_PER_SECOND = 4_000;

  /** Milliseconds between two tokens of an answer. */
  static final double MS_PER_TOKEN = 10;

  /** Milliseconds from the start of a request to its first token. */
  static final long PREFILL_MS = 50;

  /** A request that waits or runs in the engine. */
  static final class EngineRequest {
    final int tier;
    final int tokens;
    final LongConsumer onFirstToken;
    final Runnable onFinished;
    private long order;
    private long startedMs;

    EngineRequest(int tier, int tokens, LongConsumer onFirstToken, Runnable onFinished) {
      this.tier = tier;
      this.tokens = tokens;
      this.onFirstToken = onFirstToken;
      this.onFinished = onFinished;
    }
  }

  private final EventScheduler scheduler;
  private final int slots;
  private final Set<EngineRequest> running = new HashSet<>();
  private final PriorityQueue<EngineRequest> waiting =
      new PriorityQueue<>(
          Comparator.<EngineRequest>comparingInt(request -> request.tier)
              .thenComparingLong(request -> request.order));
  private long nextOrder;

  FixedSlotEngine(EventScheduler scheduler, int slots) {
    this.scheduler = scheduler;
    this.slots = slots;
  }

  /** Queues a request, which starts as soon as a slot is free. */
  void submit(EngineRequest request) {
    request.order = nextOrder++;
    waiting.add(request);
    startNext();
  }

  /** Cancels a request and returns the number of tokens not yet generated, at least 1. */
  int cancel(EngineRequest request) {
    waiting.remove(request);
    boolean ran = running.remove(request);
    long ranMs = ran ? Math.max(0, scheduler.nowMs() - request.startedMs - PREFILL_MS) : 0;
    startNext();
    return Math.max(1, request.tokens - (int) (ranMs / MS_PER_TOKEN));
  }

  /** Returns a report of the present load. */
  LoadReport report() {
    return new LoadReport(
        scheduler.nowMs(),
        running.size(),
        waiting.size(),
        MS_PER_TOKEN,
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

  private void start(EngineRequest request) {
    running.add(request);
    request.startedMs = scheduler.nowMs();
    scheduler.schedule(
        PREFILL_MS,
        () -> runIfRunning(request, () -> request.onFirstToken.accept(scheduler.nowMs())));
    scheduler.schedule(
        PREFILL_MS + (long) (request.tokens * MS_PER_TOKEN),
        () -> runIfRunning(request, () -> finish(request)));
  }

  private void runIfRunning(EngineRequest request, Runnable action) {
    if (running.contains(request)) {
      action.run();
    }
  }

  private void finish(EngineRequest request) {
    running.remove(request);
    startNext();
    request.onFinished.run();
  }
}
