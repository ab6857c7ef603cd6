package org.zinniaspan.lifecycle;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.SystemClock;
import org.zinniaspan.clock.Ticking;

/**
 * Drains requests before a graceful shutdown: counts requests in flight and signals when none is
 * left.
 *
 * <p>New requests are still admitted for a grace period after the drain begins, because the load
 * balancer takes time to notice that the VM is not ready. After that they are refused, and the
 * drain completes once no request is in flight and all conditions hold, without a time limit. State
 * is guarded by this object's lock.
 */
public final class Drain implements Ticking {

  private final CompletableFuture<Void> whenBegun = new CompletableFuture<>();
  private final CompletableFuture<Void> whenDrained = new CompletableFuture<>();
  private final List<BooleanSupplier> conditions = new CopyOnWriteArrayList<>();
  private final Clock clock;
  private final long graceMs;
  private long begunMs;
  private int inFlight;

  /** Creates a drain without a grace period, on the system clock. */
  public Drain() {
    this(new SystemClock(), 0);
  }

  /**
   * Creates a drain that has not begun.
   *
   * @param clock source of time
   * @param graceMs time after the beginning in which new requests are still admitted, in
   *     milliseconds
   */
  public Drain(Clock clock, long graceMs) {
    this.clock = clock;
    this.graceMs = graceMs;
  }

  /** Adds a condition for completing the drain, such as no outstanding work for peers. */
  public void addCondition(BooleanSupplier condition) {
    conditions.add(condition);
  }

  /** Admits and counts a new request; returns false, and counts nothing, if it is refused. */
  public synchronized boolean tryStartRequest() {
    if (isRefusing()) {
      return false;
    }
    inFlight++;
    return true;
  }

  private boolean isRefusing() {
    return whenBegun.isDone() && clock.nowMs() - begunMs >= graceMs;
  }

  /** Records the end of an admitted request. */
  public void endRequest() {
    synchronized (this) {
      inFlight--;
    }
    tick();
  }

  /** Begins the drain; further calls do nothing. */
  public void begin() {
    synchronized (this) {
      if (whenBegun.isDone()) {
        return;
      }
      begunMs = clock.nowMs();
    }
    whenBegun.complete(null);
    tick();
  }

  /**
   * Completes the drain if the grace period has passed, no request is in flight and all conditions
   * hold.
   */
  @Override
  public void tick() {
    boolean idle;
    synchronized (this) {
      idle = isRefusing() && inFlight == 0;
    }
    if (idle && conditions.stream().allMatch(BooleanSupplier::getAsBoolean)) {
      whenDrained.complete(null);
    }
  }

  /** Returns whether the drain has begun. */
  public boolean hasBegun() {
    return whenBegun.isDone();
  }

  /** Returns the number of requests in flight. */
  public synchronized int inFlight() {
    return inFlight;
  }

  /** Returns a future that completes when the drain begins. */
  public CompletableFuture<Void> whenBegun() {
    return whenBegun;
  }

  /** Returns a future that completes with the drain. */
  public CompletableFuture<Void> whenDrained() {
    return whenDrained;
  }
}
