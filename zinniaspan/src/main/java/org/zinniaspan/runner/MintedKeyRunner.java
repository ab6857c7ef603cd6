package org.zinniaspan.runner;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.request.Outcome;

/**
 * Runs calls with keys that this process issued, each key at most once, without any vote.
 *
 * <p>Retries join the attempt that runs. A key is forgotten only when it has expired, and an
 * expired key is never run. State is guarded by this object's lock.
 */
final class MintedKeyRunner {

  private static final class Entry {
    private final long mintedMs;
    private Optional<CompletableFuture<CallResult>> current = Optional.empty();
    private long blockedUntilMs;

    Entry(long mintedMs) {
      this.mintedMs = mintedMs;
    }
  }

  private final RunnerPorts ports;
  private final Map<String, Entry> entries = new HashMap<>();
  private long minted;

  MintedKeyRunner(RunnerPorts ports) {
    this.ports = ports;
  }

  /** Issues a key. */
  synchronized String mint() {
    minted++;
    long nowMs = ports.clock.nowMs();
    return new MintedKey(ports.self.vm(), ports.self.incarnation(), nowMs, minted).text();
  }

  /**
   * Runs a call, or joins or repeats the outcome of the attempt that did.
   *
   * @param call the call
   * @param key its key, which names this VM
   * @param startedMs earliest time at which the caller may have sent it
   * @param once makes one attempt
   */
  CompletableFuture<CallResult> run(
      ServiceCall call,
      MintedKey key,
      long startedMs,
      Function<ServiceCall, CompletableFuture<CallResult>> once) {
    if (key.incarnation() != ports.self.incarnation()) {
      return unknown("the process that issued the key is gone");
    }
    CompletableFuture<CallResult> result = new CompletableFuture<>();
    Entry entry;
    synchronized (this) {
      Optional<CompletableFuture<CallResult>> settled = settled(call, key, startedMs);
      if (settled.isPresent()) {
        return settled.get();
      }
      entry = entries.computeIfAbsent(claimKey(call), k -> new Entry(key.mintedMs()));
      entry.current = Optional.of(result);
    }
    once.apply(call).thenAccept(outcome -> end(entry, result, outcome));
    return result;
  }

  /** Returns the result of a call that needs no attempt of its own, or must not have one. */
  private Optional<CompletableFuture<CallResult>> settled(
      ServiceCall call, MintedKey key, long startedMs) {
    long nowMs = ports.clock.nowMs();
    Entry entry = entries.get(claimKey(call));
    if (entry == null && isExpired(key.mintedMs(), nowMs)) {
      return Optional.of(unknown("the key has expired"));
    }
    if (entry == null && entries.size() >= ports.settings.maxClaims()) {
      return Optional.of(unknown("this VM remembers too many keys to take another one"));
    }
    if (entry != null && entry.current.isPresent()) {
      return entry.current;
    }
    if (entry != null && nowMs < entry.blockedUntilMs) {
      long blockMs = ports.settings.blockMs();
      entry.blockedUntilMs = nowMs + blockMs;
      CallResult notRun = CallResult.notRun(NotRunReason.OVERLOADED, Optional.of(blockMs));
      return Optional.of(CompletableFuture.completedFuture(notRun));
    }
    return nowMs >= startedMs + ports.settings.startTimeoutMs()
        ? Optional.of(unknown("the call waited too long to be started"))
        : Optional.empty();
  }

  private static String claimKey(ServiceCall call) {
    return AtMostOnceRunner.claimKey(call);
  }

  private void end(Entry entry, CompletableFuture<CallResult> result, CallResult outcome) {
    boolean notRun = outcome.outcome() instanceof Outcome.NotRun;
    result.complete(notRun ? withLaterRetry(outcome) : outcome);
    synchronized (this) {
      if (notRun) {
        entry.current = Optional.empty();
        entry.blockedUntilMs = ports.clock.nowMs() + ports.settings.blockMs();
      }
    }
  }

  /** Attempts that started before an answer of not run end before a retry may run. */
  private CallResult withLaterRetry(CallResult outcome) {
    Outcome.NotRun notRun = (Outcome.NotRun) outcome.outcome();
    Optional<Long> after = notRun.retryAfterMs().map(ms -> Math.max(ms, ports.settings.blockMs()));
    return CallResult.notRun(notRun.reason(), after);
  }

  private boolean isExpired(long mintedMs, long nowMs) {
    return nowMs - mintedMs > ports.settings.horizonMs();
  }

  /** Forgets keys that have expired. */
  synchronized void tick() {
    long nowMs = ports.clock.nowMs();
    entries
        .values()
        .removeIf(
            entry ->
                isExpired(entry.mintedMs, nowMs)
                    && entry.current.map(CompletableFuture::isDone).orElse(true)
                    && nowMs >= entry.blockedUntilMs);
  }

  private static CompletableFuture<CallResult> unknown(String reason) {
    return CompletableFuture.completedFuture(CallResult.unknown(reason));
  }
}
