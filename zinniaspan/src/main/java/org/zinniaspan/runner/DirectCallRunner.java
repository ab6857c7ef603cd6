package org.zinniaspan.runner;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.dispatch.SlotAnswer;
import org.zinniaspan.dispatch.SlotAsk;
import org.zinniaspan.dispatch.SlotResult;
import org.zinniaspan.dispatch.SlotService;
import org.zinniaspan.dispatch.SlotUse;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.request.NotRunReason;

/** Sends each call once, straight to an endpoint, and knows nothing of earlier attempts. */
public final class DirectCallRunner implements CallRunner {

  private static final long RETRY_AFTER_MS = 1_000;

  private final SlotService slots;
  private final ServiceClient services;
  private final Supplier<Configuration> configuration;
  private final Executor executor;
  private final Clock clock;

  /** Creates a runner that blocks threads of the executor while it waits for services. */
  public DirectCallRunner(
      SlotService slots,
      ServiceClient services,
      Supplier<Configuration> configuration,
      Executor executor,
      Clock clock) {
    this.slots = slots;
    this.services = services;
    this.configuration = configuration;
    this.executor = executor;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<CallResult> run(ServiceCall call) {
    SlotAsk ask = ask(call);
    return slots
        .acquire(ask, () -> {})
        .thenApplyAsync(answer -> onAnswer(call, ask, answer), executor);
  }

  private static SlotAsk ask(ServiceCall call) {
    return new SlotAsk(
        call.requestId() + "-1",
        Pool.service(call.service()),
        call.serviceClass(),
        call.organisation(),
        call.arrivedMs(),
        call.dueMs(),
        0,
        0,
        java.util.List.of(),
        Set.of(),
        false);
  }

  private CallResult onAnswer(ServiceCall call, SlotAsk ask, SlotAnswer answer) {
    if (answer instanceof SlotAnswer.Granted granted) {
      return send(call, ask, granted);
    }
    SlotAnswer.Refused refused = (SlotAnswer.Refused) answer;
    return CallResult.notRun(refused.reason(), refused.retryAfterMs());
  }

  private CallResult send(ServiceCall call, SlotAsk ask, SlotAnswer.Granted granted) {
    Optional<Endpoint> endpoint = configuration.get().inventory().endpoint(granted.endpoint());
    if (endpoint.isEmpty() || clock.nowMs() > granted.expiresAtMs()) {
      slots.release(ask.attemptId(), SlotUse.of(SlotResult.UNUSED));
      return CallResult.notRun(NotRunReason.NO_ENDPOINT, Optional.of(RETRY_AFTER_MS));
    }
    SendResult result = services.send(endpoint.get(), call, ask.attemptId());
    if (result instanceof SendResult.Answered answered) {
      slots.release(ask.attemptId(), SlotUse.of(SlotResult.COMPLETED));
      return CallResult.answered(answered.answer());
    }
    if (result instanceof SendResult.MaybeSent maybeSent) {
      slots.release(ask.attemptId(), SlotUse.of(SlotResult.BROKEN));
      return CallResult.unknown(maybeSent.reason());
    }
    slots.release(ask.attemptId(), SlotUse.of(SlotResult.UNREACHABLE));
    return CallResult.notRun(NotRunReason.NO_ENDPOINT, Optional.of(RETRY_AFTER_MS));
  }
}
