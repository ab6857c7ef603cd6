package org.zinniaspan.stream;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Waits for the response to a lease request; tests substitute virtual time. */
@FunctionalInterface
public interface SlotWait {

  /** Waits up to the given milliseconds and returns whether the future is done. */
  boolean await(CompletableFuture<?> future, long timeoutMs);

  /** Returns a wait that blocks the calling thread; it ends early on an interrupt. */
  static SlotWait blocking() {
    return (future, timeoutMs) -> {
      try {
        future.get(timeoutMs, TimeUnit.MILLISECONDS);
        return true;
      } catch (TimeoutException e) {
        return false;
      } catch (ExecutionException e) {
        return true;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    };
  }
}
