package org.zinniaspan.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Holds the rate of the weight store.
 *
 * <p>A new budget counts as spent for its first window, because a former placer may have spent it.
 * Not safe for use by several threads.
 */
final class LoadBudget {

  private record Spent(long atMs, int mb) {}

  private final int windowMb;
  private final long windowMs;
  private final Deque<Spent> spent = new ArrayDeque<>();

  LoadBudget(int windowMb, long windowMs, long nowMs) {
    this.windowMb = windowMb;
    this.windowMs = windowMs;
    spent.add(new Spent(nowMs, windowMb));
  }

  /**
   * Spends the megabytes if the window has room for them; a load above the window waits for all.
   */
  boolean trySpend(int mb, long nowMs) {
    while (!spent.isEmpty() && spent.peek().atMs() <= nowMs - windowMs) {
      spent.poll();
    }
    int used = spent.stream().mapToInt(Spent::mb).sum();
    if (used > 0 && used + mb > windowMb) {
      return false;
    }
    spent.add(new Spent(nowMs, mb));
    return true;
  }
}
