package org.zinniaspan.clock;

import java.util.concurrent.TimeUnit;

/** Measures time with a monotonic clock, set to the wall clock once, on creation. */
public final class SystemClock implements Clock {

  private final long startMs = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  @Override
  public long nowMs() {
    return startMs + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }
}
