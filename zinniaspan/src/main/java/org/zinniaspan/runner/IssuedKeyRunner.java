package org.zinniaspan.runner;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.request.Outcome;

/**
 * Runs calls with keys that this process issued, each key at most once, without a vote.
 *
 * <p>Retries share the result of the attempt that runs or has run; after a "not run" result, a
 * retry may make a new attempt once the block time has passed. A key is removed only after it has
 * expired, and a call whose key has expired and is not stored is never run. State is guarded by
 * this object's lock.
 */
final class IssuedKeyRunner {

  private static final class Entry {
    private final long issuedMs;
    private Optional<CompletableFuture<CallResult>> attempt = Optional.empty();
    private long blockedUntilMs;

    Entry(long issuedMs) {
      this.issuedMs = issuedMs;
    }
  }

  private final RunnerContext context;
  private final Map<String, Entry> entries = new HashMap<>();
  private long issuedKeys;

  IssuedKeyRunner(RunnerContext context) {
    this.context = context;
  }

  /** Issues a new key. */
  synchronized String issue() {
    issuedKeys++;
    long nowMs = context.clock.nowMs();
    return new IssuedKey(context.self.vm(), context.self.incarnation(), nowMs, issuedKeys).text();
  }

  /**
   * Runs a call, or returns the result of the attempt that runs or has run it.
   *
   * @param call call to run
   * @param key idempotency key of the call, which names this VM
   * @param startedMs earliest time, in milliseconds, at which the caller may have sent the call
   * @param runOnce makes one attempt at the call
   */
  CompletableFuture<CallResult> run(
      ServiceCall call,
      IssuedKey key,
      long startedMs,
      Function<ServiceCall, CompletableFuture<CallResult>> runOnce) {
    if (key.incarnation() != context.self.incarnation()) {
      return unknown("the process that issued the key is gone");
    }
    CompletableFuture<CallResult> result = new CompletableFuture<>();
    Entry entry;
    synchronized (this) {
      Optional<CompletableFuture<CallResult>> known = resultWithoutAttempt(call, key, startedMs);
      if (known.isPresent()) {
        return known.get();
      }
      entry = entries.computeIfAbsent(claimKey(call), k -> new Entry(key.issuedMs()));
      entry.attempt = Optional.of(result);
    }
    runOnce.apply(call).thenAccept(outcome -> onOutcome(entry, result, outcome));
    return result;
  }

  /** Returns the result of a call that needs no attempt of its own or must not have one. */
  private Optional<CompletableFuture<CallResult>> resultWithoutAttempt(
      ServiceCall call, IssuedKey key, long startedMs) {
    long nowMs = context.clock.nowMs();
    Entry entry = entries.get(claimKey(call));
    if (entry == null && isExpired(key.issuedMs(), nowMs)) {
      return Optional.of(unknown("the key has expired"));
    }
    if (entry == null && entries.size() >= context.settings.maxClaims()) {
      return Optional.of(unknown("this VM remembers too many keys to take another one"));
    }
    if (entry != null && entry.attempt.isPresent()) {
      return entry.attempt;
    }
    if (entry != null && nowMs < entry.blockedUntilMs) {
      long blockMs = context.settings.blockMs();
      entry.blockedUntilMs = nowMs + blockMs;
      CallResult notRun = CallResult.notRun(NotRunReason.OVERLOADED, Optional.of(blockMs));
      return Optional.of(CompletableFuture.completedFuture(notRun));
    }
    return nowMs >= startedMs + context.settings.startTimeoutMs()
        ? Optional.of(unknown("the call waited too long to be started"))
        : Optional.empty();
  }

  private static String claimKey(ServiceCall call) {
    return AtMostOnceRunner.claimKey(call);
  }

  private void onOutcome(Entry entry, CompletableFuture<CallResult> result, CallResult outcome) {
    boolean notRun = outcome.outcome() instanceof Outcome.NotRun;
    result.complete(notRun ? withLaterRetry(outcome) : outcome);
    synchronized (this) {
      if (notRun) {
        entry.attempt = Optional.empty();
        entry.blockedUntilMs = context.clock.nowMs() + context.settings.blockMs();
      }
    }
  }

  /**
   * Raises the retry delay of a "not run" result to the block time, so that attempts which started
   * before that result have ended before a retry may run.
   */
  private CallResult withLaterRetry(CallResult outcome) {
    Outcome.NotRun notRun = (Outcome.NotRun) outcome.outcome();
    Optional<Long> retryAfterMs =
        notRun.retryAfterMs().map(ms -> Math.max(ms, context.settings.blockMs()));
    return CallResult.notRun(notRun.reason(), retryAfterMs);
  }

  private boolean isExpired(long issuedMs, long nowMs) {
    return nowMs - issuedMs > context.settings.horizonMs();
  }

  /** Removes keys that have expired and are neither running nor blocked. */
  synchronized void tick() {
    long nowMs = context.clock.nowMs();
    entries
        .values()
        .removeIf(
            entry ->
                isExpired(entry.issuedMs, nowMs)
                    && entry.attempt.map(CompletableFuture::isDone).orElse(true)
                    && nowMs >= entry.blockedUntilMs);
  }

  private static CompletableFuture<CallResult> unknown(String reason) {
    return CompletableFuture.completedFuture(CallResult.unknown(reason));
  }
}
