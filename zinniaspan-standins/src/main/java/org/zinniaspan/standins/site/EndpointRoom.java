package org.zinniaspan.standins.site;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Semaphore;

/**
 * The slots and the queue of an endpoint that fails if it has to reject more requests in a second
 * than it can bear.
 */
public final class EndpointRoom {

  private static final long WINDOW_MS = 1_000;

  /** What becomes of a request that arrives. */
  enum Arrival {
    /** It is executed, after those that wait before it. */
    ADMITTED,
    /** It is rejected for lack of room. */
    REJECTED,
    /** It is rejected, and the endpoint fails. */
    FAILING
  }

  private final int slots;
  private final int rejectionsPerSecond;
  private final Deque<Long> rejectedMs = new ArrayDeque<>();
  private final Semaphore freeSlots;
  private int queue;
  private int present;
  private boolean failed;

  /**
   * Creates an empty room.
   *
   * @param slots requests that are executed concurrently
   * @param queue requests that may wait for a slot
   * @param rejectionsPerSecond rejections in a second beyond which the endpoint fails
   */
  public EndpointRoom(int slots, int queue, int rejectionsPerSecond) {
    this.slots = slots;
    this.queue = queue;
    this.rejectionsPerSecond = rejectionsPerSecond;
    this.freeSlots = new Semaphore(slots, true);
  }

  int rejectionsPerSecond() {
    return rejectionsPerSecond;
  }

  /** Sets how many requests may wait for a slot from now on. */
  public synchronized void setQueue(int requests) {
    queue = requests;
  }

  synchronized Arrival arrive(long nowMs) {
    if (present < slots + queue) {
      present++;
      return Arrival.ADMITTED;
    }
    rejectedMs.addLast(nowMs);
    while (rejectedMs.peekFirst() <= nowMs - WINDOW_MS) {
      rejectedMs.removeFirst();
    }
    if (failed || rejectedMs.size() <= rejectionsPerSecond) {
      return Arrival.REJECTED;
    }
    failed = true;
    return Arrival.FAILING;
  }

  /** Counts rejections anew, as the endpoint is back. */
  synchronized void onReturn() {
    failed = false;
    rejectedMs.clear();
  }

  /** Waits for a slot. */
  void takeSlot() {
    freeSlots.acquireUninterruptibly();
  }

  /** Frees the slot and the place of a request. */
  synchronized void leave() {
    present--;
    freeSlots.release();
  }
}
