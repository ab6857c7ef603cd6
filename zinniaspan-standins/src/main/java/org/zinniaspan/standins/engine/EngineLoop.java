package org.zinniaspan.standins.engine;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Runs the steps of an engine stand-in on a thread of its own, each as long as {@link
 * EngineCore#beginStep} says, and samples the load every 50 ms.
 */
final class EngineLoop implements AutoCloseable {

  private static final double NANOS_PER_MS = 1_000_000.0;
  private static final long LOAD_SAMPLE_PERIOD_MS = 50;

  private final EngineCore core;
  private final Thread thread = new Thread(this::run, "engine-loop");
  private long nextSampleMs;

  EngineLoop(EngineCore core) {
    this.core = core;
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    long dueNanos = System.nanoTime();
    try {
      while (!Thread.currentThread().isInterrupted()) {
        sampleLoad();
        double stepMs = core.beginStep();
        if (stepMs == 0) {
          core.awaitWork(LOAD_SAMPLE_PERIOD_MS);
          dueNanos = System.nanoTime();
          continue;
        }
        dueNanos += (long) (stepMs * NANOS_PER_MS);
        parkUntil(dueNanos);
        core.endStep();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void parkUntil(long dueNanos) {
    long remainingNanos = dueNanos - System.nanoTime();
    while (remainingNanos > 0 && !Thread.currentThread().isInterrupted()) {
      LockSupport.parkNanos(remainingNanos);
      remainingNanos = dueNanos - System.nanoTime();
    }
  }

  private void sampleLoad() {
    long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    if (nowMs >= nextSampleMs) {
      nextSampleMs = nowMs + LOAD_SAMPLE_PERIOD_MS;
      core.recordLoad(System.currentTimeMillis());
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
