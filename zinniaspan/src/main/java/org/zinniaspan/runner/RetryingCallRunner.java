package org.zinniaspan.runner;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.zinniaspan.dispatch.LeaseRequest;
import org.zinniaspan.dispatch.LeaseResponse;
import org.zinniaspan.dispatch.SlotResult;
import org.zinniaspan.dispatch.SlotUse;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.stream.RetryBudget;

/**
 * Runs calls without coordination between VMs, with retries limited by a retry budget: idempotent
 * calls, and non-idempotent calls that have no key or a key that only this process runs.
 *
 * <p>A call that was not sent is retried at another endpoint. A call that may have been sent is
 * retried only if it is idempotent and the retry budget allows it: one retry for ten successful
 * calls, plus one each ten seconds.
 */
public final class RetryingCallRunner implements CallRunner {

  private static final long RETRY_AFTER_MS = 1_000;
  private static final int MAX_ATTEMPTS = 3;
  private static final double RETRIES_PER_SUCCESS = 0.1;
  private static final double RETRIES_PER_SECOND = 0.1;

  private final RunnerContext context;
  private final RetryBudget budget;

  /** Creates a runner. */
  public RetryingCallRunner(RunnerContext context) {
    this.context = context;
    this.budget = new RetryBudget(RETRIES_PER_SUCCESS, RETRIES_PER_SECOND, context.clock);
  }

  @Override
  public CompletableFuture<CallResult> run(ServiceCall call) {
    CallExecution execution = new CallExecution(call);
    execution.acquireSlot();
    return execution.result;
  }

  /** Execution of one call; its steps run one after another, so that no lock is needed. */
  private final class CallExecution {

    private final ServiceCall call;
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private final Set<String> excluded = new HashSet<>();
    private int attempts;
    private boolean mayHaveRun;

    CallExecution(ServiceCall call) {
      this.call = call;
    }

    void acquireSlot() {
      attempts++;
      LeaseRequest request = newLeaseRequest(call.requestId() + "-" + attempts);
      context
          .slots
          .acquire(request, () -> {})
          .thenAccept(response -> onLeaseResponse(request, response));
    }

    private LeaseRequest newLeaseRequest(String attemptId) {
      return new LeaseRequest(
          attemptId,
          Pool.service(call.service()),
          call.serviceClass(),
          call.organisation(),
          call.arrivedMs(),
          call.dueMs(),
          0,
          0,
          List.of(),
          excluded,
          false);
    }

    private void onLeaseResponse(LeaseRequest request, LeaseResponse response) {
      if (response instanceof LeaseResponse.Refused refused) {
        end(refused.reason(), refused.retryAfterMs());
        return;
      }
      LeaseResponse.Granted granted = (LeaseResponse.Granted) response;
      Optional<Endpoint> endpoint = context.endpoint(granted.endpoint());
      if (endpoint.isEmpty()) {
        context.slots.release(request.attemptId(), SlotUse.of(SlotResult.UNUSED));
        end(NotRunReason.NO_ENDPOINT, Optional.of(RETRY_AFTER_MS));
        return;
      }
      context.sender.send(
          endpoint.get(),
          call,
          request.attemptId(),
          () -> context.clock.nowMs() <= granted.expiresAtMs(),
          sent -> onSent(request, granted.endpoint(), sent));
    }

    private void onSent(LeaseRequest request, String endpoint, SendResult sent) {
      context.slots.release(request.attemptId(), SlotUse.of(slotResult(sent)));
      excluded.add(endpoint);
      if (sent instanceof SendResult.Answered answered) {
        budget.onSuccess();
        result.complete(CallResult.answered(answered.response()));
      } else if (sent instanceof SendResult.MaybeSent maybeSent) {
        mayHaveRun = true;
        retryOrEnd(!call.serviceClass().nonIdempotent() && budget.tryAcquire(), maybeSent.reason());
      } else {
        retryOrEnd(true, "no endpoint could be reached");
      }
    }

    private void retryOrEnd(boolean mayRetry, String reason) {
      boolean inTime = context.clock.nowMs() < call.dueMs();
      if (mayRetry && inTime && attempts < MAX_ATTEMPTS) {
        EventLog.event("call-retry")
            .with("requestId", call.requestId())
            .with("try", attempts)
            .with("reason", reason)
            .info();
        acquireSlot();
      } else if (mayHaveRun) {
        result.complete(CallResult.unknown(reason));
      } else {
        end(NotRunReason.NO_ENDPOINT, Optional.of(RETRY_AFTER_MS));
      }
    }

    private void end(NotRunReason reason, Optional<Long> retryAfterMs) {
      result.complete(
          mayHaveRun
              ? CallResult.unknown("an earlier try may have run: " + reason.code())
              : CallResult.notRun(reason, retryAfterMs));
    }

    private SlotResult slotResult(SendResult sent) {
      if (sent instanceof SendResult.Answered) {
        return SlotResult.COMPLETED;
      }
      return sent instanceof SendResult.MaybeSent ? SlotResult.BROKEN : SlotResult.UNREACHABLE;
    }
  }
}
