package org.zinniaspan.clock;

import java.util.concurrent.TimeUnit;

/** Monotonic clock that is anchored to the wall clock once, when it is created. */
public final class SystemClock implements Clock {

  private final long startMs = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  @Override
  public long nowMs() {
    return startMs + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }
}
