package org.zinniaspan.stream;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.zinniaspan.dispatch.LeaseResponse;
import org.zinniaspan.dispatch.SlotResult;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.request.Outcome;
import org.zinniaspan.stream.AttemptOpener.Opening;

/**
 * Runs one request, in several attempts if need be, and gives each token once; used by one thread.
 *
 * <p>Events are read from the running attempt alone, so that what an abandoned one still sends
 * reaches nobody.
 */
final class ResumingSession implements ChatSession {

  private static final long SLICE_MS = 50;
  private static final long RETRY_AFTER_MS = 1_000;
  private static final int MOST_ASKS = 12;

  private final StreamParts parts;
  private final ChatCall call;
  private final BooleanSupplier callerLeft;
  private final DeliveredText delivered = new DeliveredText();
  private final AttemptOpener opener;
  private Optional<Attempt> running = Optional.empty();
  private Optional<StreamEvent> first = Optional.empty();
  private Optional<StreamEvent> last = Optional.empty();
  private ChatStart failure;
  private String endpoint = "";
  private boolean mayHaveRun;
  private int retries;
  private int wasted;

  ResumingSession(StreamParts parts, ChatCall call, BooleanSupplier callerLeft) {
    this.parts = parts;
    this.call = call;
    this.callerLeft = callerLeft;
    this.opener = new AttemptOpener(parts, call, delivered);
  }

  /** Runs the request up to its first event. */
  ChatStart start() {
    StreamEvent event = advance();
    if (event instanceof StreamEvent.Broken) {
      return failure;
    }
    first = Optional.of(event);
    return new ChatStart.Started(this);
  }

  @Override
  public StreamEvent next() {
    if (first.isPresent()) {
      StreamEvent event = first.get();
      first = Optional.empty();
      return event;
    }
    return last.isPresent() ? last.get() : advance();
  }

  private StreamEvent advance() {
    while (last.isEmpty()) {
      if (running.isEmpty()) {
        open();
        continue;
      }
      if (running.get().isPreempted()) {
        abandon(Setback.preempted());
        continue;
      }
      StreamEvent event = running.get().next(SLICE_MS);
      if (event instanceof StreamEvent.Token token) {
        delivered.add(token.text());
        return event;
      }
      onEvent(event);
    }
    return last.get();
  }

  private void open() {
    Opening opening = opener.open(callerLeft);
    if (opening instanceof Opening.Running started) {
      running = Optional.of(started.attempt());
      endpoint = started.attempt().endpoint();
    } else if (opening instanceof Opening.Failed failed) {
      onSetback(failed.setback());
    } else if (opening instanceof Opening.Refused refused) {
      onRefused(refused.answer());
    }
  }

  private void onEvent(StreamEvent event) {
    Attempt attempt = running.get();
    if (event instanceof StreamEvent.Finished) {
      onFinished(event);
    } else if (event instanceof StreamEvent.Broken broken) {
      abandon(Setback.broken(broken.reason()));
    } else if (event instanceof StreamEvent.Rejected rejected) {
      abandon(Setback.rejected(rejected.status(), rejected.leaving(), rejected.message()));
    } else if (attempt.isStalled()) {
      abandon(Setback.broken(attempt.endpoint() + ": no token for too long"));
    } else if (callerLeft.getAsBoolean()) {
      stop(SlotResult.CANCELLED);
      mayHaveRun = true;
      end("caller left");
    }
  }

  private void onFinished(StreamEvent event) {
    stop(SlotResult.COMPLETED);
    parts.budget().onSuccess();
    parts
        .estimates()
        .learn(call.serviceClass().name(), call.organisation(), call.model(), delivered.tokens());
    last = Optional.of(event);
  }

  private void abandon(Setback setback) {
    Attempt attempt = running.get();
    stop(setback.result());
    if (setback.result() != SlotResult.CANCELLED) {
      opener.exclude(attempt.endpoint());
    }
    onSetback(setback);
  }

  private void stop(SlotResult result) {
    Attempt attempt = running.get();
    running = Optional.empty();
    attempt.stop(result);
    wasted += attempt.wastedTokens();
  }

  private void onSetback(Setback setback) {
    mayHaveRun |= setback.mayHaveRun();
    boolean again = mayAskAgain(setback);
    EventLog.event("attempt-failed")
        .with("requestId", call.requestId())
        .with("class", call.serviceClass().name())
        .with("result", setback.result())
        .with("reason", setback.reason())
        .with("delivered", delivered.tokens())
        .with("retry", again)
        .info();
    if (!again) {
      failure = setback.rejectionForCaller().orElse(null);
      end(setback.reason());
    }
  }

  private boolean mayAskAgain(Setback setback) {
    if (!setback.isWorthRetrying() || opener.asks() >= MOST_ASKS || isTooLate()) {
      return false;
    }
    if (!setback.costsBudget()) {
      return true;
    }
    if (retries >= parts.settings().maxRetries() || !parts.budget().tryTake()) {
      return false;
    }
    retries++;
    return true;
  }

  /** Returns whether a first token that comes now would be of no use. */
  private boolean isTooLate() {
    long limitMs = call.firstTokenDueMs() + parts.settings().lateGraceMs();
    return delivered.tokens() == 0 && parts.clock().nowMs() > limitMs;
  }

  private void onRefused(LeaseResponse.Refused refused) {
    if (!mayHaveRun) {
      failure = new ChatStart.Ended(new Outcome.NotRun(refused.reason(), refused.retryAfterMs()));
    }
    end("no slot: " + refused.reason().code());
  }

  private void end(String reason) {
    if (failure == null) {
      failure = new ChatStart.Ended(outcome(reason));
    }
    last = Optional.of(new StreamEvent.Broken(reason));
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
    return wasted;
  }

  @Override
  public void close() {
    if (running.isPresent()) {
      stop(SlotResult.CANCELLED);
    }
    if (last.isEmpty()) {
      last = Optional.of(new StreamEvent.Broken("closed"));
    }
  }
}
