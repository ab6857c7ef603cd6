package org.zinniaspan.runner;

import java.util.concurrent.CompletableFuture;

/** Runs calls to plain services. */
public interface CallRunner {

  /** Runs a call; the future completes once, and never exceptionally. */
  CompletableFuture<CallResult> run(ServiceCall call);
}
