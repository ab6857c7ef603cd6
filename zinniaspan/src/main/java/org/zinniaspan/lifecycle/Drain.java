package org.zinniaspan.lifecycle;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.SystemClock;
import org.zinniaspan.clock.Ticking;

/**
 * Counts requests in flight and tells when a graceful shutdown may end.
 *
 * <p>For a grace period after its begin new requests are still counted, because the balancer learns
 * late that the VM is not ready. After that they are refused, and the shutdown ends once no request
 * is in flight and all conditions hold, however long that takes. State is guarded by this object's
 * lock.
 */
public final class Drain implements Ticking {

  private final CompletableFuture<Void> whenBegun = new CompletableFuture<>();
  private final CompletableFuture<Void> whenDrained = new CompletableFuture<>();
  private final List<BooleanSupplier> conditions = new CopyOnWriteArrayList<>();
  private final Clock clock;
  private final long graceMs;
  private long begunMs;
  private int inFlight;

  /** Creates a shutdown without a grace period. */
  public Drain() {
    this(new SystemClock(), 0);
  }

  /**
   * Creates a shutdown.
   *
   * @param clock source of time
   * @param graceMs milliseconds after the begin in which new requests are still taken
   */
  public Drain(Clock clock, long graceMs) {
    this.clock = clock;
    this.graceMs = graceMs;
  }

  /** Adds a condition that must hold before the shutdown ends, such as nothing owed to peers. */
  public void addCondition(BooleanSupplier condition) {
    conditions.add(condition);
  }

  /** Counts a new request; returns false, and counts nothing, once requests are refused. */
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

  /** Counts a request whose answer has been delivered. */
  public void endRequest() {
    synchronized (this) {
      inFlight--;
    }
    tick();
  }

  /** Begins the shutdown; a second call does nothing. */
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

  /** Ends the shutdown if nothing is left to do. */
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

  /** Returns whether the shutdown has begun. */
  public boolean hasBegun() {
    return whenBegun.isDone();
  }

  /** Returns the number of requests in flight. */
  public synchronized int inFlight() {
    return inFlight;
  }

  /** Completes when the shutdown begins. */
  public CompletableFuture<Void> whenBegun() {
    return whenBegun;
  }

  /** Completes when the shutdown has begun and nothing is left to do. */
  public CompletableFuture<Void> whenDrained() {
    return whenDrained;
  }
}
