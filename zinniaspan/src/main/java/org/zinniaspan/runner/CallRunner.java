package org.zinniaspan.runner;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Runs calls to plain services, the endpoints that serve no model. */
public interface CallRunner {

  /** Runs a call; the returned future completes once and never exceptionally. */
  CompletableFuture<CallResult> run(ServiceCall call);

  /**
   * Issues an idempotency key whose calls only this process runs; empty if this runner issues no
   * keys.
   */
  default Optional<String> issueKey() {
    return Optional.empty();
  }
}
