package org.zinniaspan.stream;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.zinniaspan.dispatch.LeaseResponse;
import org.zinniaspan.dispatch.SlotResult;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.request.Outcome;
import org.zinniaspan.stream.AttemptOpener.AttemptResult;

/**
 * Runs one chat request in one or more attempts and delivers each token exactly once.
 *
 * <p>Events are read only from the running attempt, so that late tokens of an abandoned attempt are
 * never delivered. Used by one thread.
 */
final class ResumingSession implements ChatSession {

  private static final long POLL_MS = 50;
  private static final long RETRY_AFTER_MS = 1_000;
  private static final int MAX_LEASE_REQUESTS = 12;

  private final StreamDependencies dependencies;
  private final ChatCall call;
  private final BooleanSupplier callerLeft;
  private final DeliveredText delivered = new DeliveredText();
  private final AttemptOpener opener;
  private Optional<Attempt> running = Optional.empty();
  private Optional<StreamEvent> pendingFirst = Optional.empty();
  private Optional<StreamEvent> terminal = Optional.empty();
  private ChatStart failedStart;
  private String endpoint = "";
  private boolean mayHaveRun;
  private int retries;
  private int wastedTokens;

  ResumingSession(StreamDependencies dependencies, ChatCall call, BooleanSupplier callerLeft) {
    this.dependencies = dependencies;
    this.call = call;
    this.callerLeft = callerLeft;
    this.opener = new AttemptOpener(dependencies, call, delivered);
  }

  /** Runs the request until its first event or until it fails. */
  ChatStart start() {
    StreamEvent event = advance();
    if (event instanceof StreamEvent.Broken) {
      return failedStart;
    }
    pendingFirst = Optional.of(event);
    return new ChatStart.Started(this);
  }

  @Override
  public StreamEvent next() {
    if (pendingFirst.isPresent()) {
      StreamEvent event = pendingFirst.get();
      pendingFirst = Optional.empty();
      return event;
    }
    return terminal.isPresent() ? terminal.get() : advance();
  }

  private StreamEvent advance() {
    while (terminal.isEmpty()) {
      if (running.isEmpty()) {
        open();
        continue;
      }
      if (running.get().isPreempted()) {
        abandon(AttemptFailure.preempted());
        continue;
      }
      StreamEvent event = running.get().next(POLL_MS);
      if (event instanceof StreamEvent.Token token) {
        delivered.add(token.text());
        return event;
      }
      onEvent(event);
    }
    return terminal.get();
  }

  private void open() {
    AttemptResult result = opener.open(callerLeft);
    if (result instanceof AttemptResult.Running started) {
      running = Optional.of(started.attempt());
      endpoint = started.attempt().endpoint();
    } else if (result instanceof AttemptResult.Failed failed) {
      onAttemptFailure(failed.failure());
    } else if (result instanceof AttemptResult.Refused refused) {
      onRefused(refused.response());
    }
  }

  private void onEvent(StreamEvent event) {
    Attempt attempt = running.get();
    if (event instanceof StreamEvent.Finished) {
      onFinished(event);
    } else if (event instanceof StreamEvent.Broken broken) {
      abandon(AttemptFailure.broken(broken.reason()));
    } else if (event instanceof StreamEvent.Rejected rejected) {
      abandon(AttemptFailure.rejected(rejected.status(), rejected.leaving(), rejected.message()));
    } else if (attempt.isStalled()) {
      abandon(AttemptFailure.broken(attempt.endpoint() + ": no token for too long"));
    } else if (callerLeft.getAsBoolean()) {
      stop(SlotResult.CANCELLED);
      mayHaveRun = true;
      end("caller left");
    }
  }

  private void onFinished(StreamEvent event) {
    stop(SlotResult.COMPLETED);
    dependencies.budget().onSuccess();
    dependencies
        .outputLengthEstimator()
        .recordAnswer(
            call.serviceClass().name(), call.organisation(), call.model(), delivered.tokens());
    terminal = Optional.of(event);
  }

  private void abandon(AttemptFailure attemptFailure) {
    Attempt attempt = running.get();
    stop(attemptFailure.result());
    if (attemptFailure.result() != SlotResult.CANCELLED) {
      opener.exclude(attempt.endpoint());
    }
    onAttemptFailure(attemptFailure);
  }

  private void stop(SlotResult result) {
    Attempt attempt = running.get();
    running = Optional.empty();
    attempt.stop(result);
    wastedTokens += attempt.wastedTokens();
  }

  private void onAttemptFailure(AttemptFailure attemptFailure) {
    mayHaveRun |= attemptFailure.mayHaveRun();
    boolean retry = mayRetry(attemptFailure);
    EventLog.event("attempt-failed")
        .with("requestId", call.requestId())
        .with("class", call.serviceClass().name())
        .with("result", attemptFailure.result())
        .with("reason", attemptFailure.reason())
        .with("delivered", delivered.tokens())
        .with("retry", retry)
        .info();
    if (!retry) {
      failedStart = attemptFailure.rejectionForCaller().orElse(null);
      end(attemptFailure.reason());
    }
  }

  private boolean mayRetry(AttemptFailure attemptFailure) {
    if (!attemptFailure.isRetryable()
        || opener.leaseRequests() >= MAX_LEASE_REQUESTS
        || isTooLate()) {
      return false;
    }
    if (!attemptFailure.consumesRetryBudget()) {
      return true;
    }
    if (retries >= dependencies.settings().maxRetries() || !dependencies.budget().tryAcquire()) {
      return false;
    }
    retries++;
    return true;
  }

  /** Returns whether no token was delivered by the end of the grace period after the due time. */
  private boolean isTooLate() {
    long limitMs = call.firstTokenDueMs() + dependencies.settings().lateGraceMs();
    return delivered.tokens() == 0 && dependencies.clock().nowMs() > limitMs;
  }

  private void onRefused(LeaseResponse.Refused refused) {
    if (!mayHaveRun) {
      failedStart =
          new ChatStart.Ended(new Outcome.NotRun(refused.reason(), refused.retryAfterMs()));
    }
    end("no slot: " + refused.reason().code());
  }

  private void end(String reason) {
    if (failedStart == null) {
      failedStart = new ChatStart.Ended(outcome(reason));
    }
    terminal = Optional.of(new StreamEvent.Broken(reason));
  }

  private Outcome outcome(String reason) {
    return mayHaveRun
        ? new Outcome.Unknown(reason)
        : Outcome.NotRun.retryAfter(NotRunReason.NO_ENDPOINT, RETRY_AFTER_MS);
  }

  @Override
  public String endpoint() {
    return endpoint;
  }

  @Override
  public int wastedTokens() {
    return wastedTokens;
  }

  @Override
  public void close() {
    if (running.isPresent()) {
      stop(SlotResult.CANCELLED);
    }
    if (terminal.isEmpty()) {
      terminal = Optional.of(new StreamEvent.Broken("closed"));
    }
  }
}
