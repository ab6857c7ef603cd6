package org.zinniaspan.lifecycle;

import java.util.concurrent.CompletableFuture;

/**
 * Counts requests in flight and tells when a graceful shutdown may end.
 *
 * <p>State is guarded by this object's lock.
 */
public final class Drain {

  private final CompletableFuture<Void> begun = new CompletableFuture<>();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private int inFlight;

  /** Counts a new request; returns false, and counts nothing, once the shutdown has begun. */
  public synchronized boolean enter() {
    if (begun.isDone()) {
      return false;
    }
    inFlight++;
    return true;
  }

  /** Counts a request whose answer has been delivered. */
  public void exit() {
    boolean last;
    synchronized (this) {
      inFlight--;
      last = inFlight == 0 && begun.isDone();
    }
    if (last) {
      drained.complete(null);
    }
  }

  /** Begins the shutdown; a second call does nothing. */
  public void begin() {
    begun.complete(null);
    boolean idle;
    synchronized (this) {
      idle = inFlight == 0;
    }
    if (idle) {
      drained.complete(null);
    }
  }

  /** Returns whether the shutdown has begun. */
  public boolean hasBegun() {
    return begun.isDone();
  }

  /** Returns the number of requests in flight. */
  public synchronized int inFlight() {
    return inFlight;
  }

  /** Completes when the shutdown begins. */
  public CompletableFuture<Void> begun() {
    return begun;
  }

  /** Completes when the shutdown has begun and no request is in flight. */
  public CompletableFuture<Void> drained() {
    return drained;
  }
}
