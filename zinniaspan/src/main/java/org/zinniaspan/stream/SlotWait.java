package org.zinniaspan.stream;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Waits for the answer to an ask. */
@FunctionalInterface
public interface SlotWait {

  /** Waits no longer than the given milliseconds and returns whether the future is done. */
  boolean await(CompletableFuture<?> future, long timeoutMs);

  /** Returns a wait in real time, which blocks the calling thread. */
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
