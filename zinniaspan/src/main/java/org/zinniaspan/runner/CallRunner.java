package org.zinniaspan.runner;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Runs calls to plain services. */
public interface CallRunner {

  /** Runs a call; the future completes once, and never exceptionally. */
  CompletableFuture<CallResult> run(ServiceCall call);

  /** Issues an idempotency key that only this process runs; empty if it issues none. */
  default Optional<String> issueKey() {
    return Optional.empty();
  }
}
