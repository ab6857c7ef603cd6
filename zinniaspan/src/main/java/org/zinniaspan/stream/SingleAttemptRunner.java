package org.zinniaspan.stream;

import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
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
import org.zinniaspan.request.Outcome;

/** Runs each request in one attempt; a broken stream ends as broken. */
public final class SingleAttemptRunner implements ChatRunner {

  private static final long RETRY_AFTER_MS = 1_000;

  private final SlotService slots;
  private final EngineClient engines;
  private final Supplier<Configuration> configuration;
  private final Clock clock;

  /** Creates a runner. */
  public SingleAttemptRunner(
      SlotService slots, EngineClient engines, Supplier<Configuration> configuration, Clock clock) {
    this.slots = slots;
    this.engines = engines;
    this.configuration = configuration;
    this.clock = clock;
  }

  @Override
  public ChatStart start(ChatCall call, BooleanSupplier callerLeft) {
    SlotAsk ask = ask(call);
    SlotAnswer answer = slots.acquire(ask, () -> {}).join();
    if (answer instanceof SlotAnswer.Granted granted) {
      return open(call, ask, granted);
    }
    SlotAnswer.Refused refused = (SlotAnswer.Refused) answer;
    return new ChatStart.Ended(new Outcome.NotRun(refused.reason(), refused.retryAfterMs()));
  }

  private static SlotAsk ask(ChatCall call) {
    return new SlotAsk(
        call.requestId() + "-1",
        Pool.model(call.model()),
        call.serviceClass(),
        call.organisation(),
        call.arrivedMs(),
        call.firstTokenDueMs(),
        call.promptTokens(),
        0,
        call.prefixDigests(),
        Set.of(),
        false);
  }

  private ChatStart open(ChatCall call, SlotAsk ask, SlotAnswer.Granted granted) {
    Optional<Endpoint> endpoint = configuration.get().inventory().endpoint(granted.endpoint());
    if (endpoint.isEmpty() || clock.nowMs() > granted.expiresAtMs()) {
      slots.release(ask.attemptId(), SlotUse.of(SlotResult.UNUSED));
      return new ChatStart.Ended(Outcome.NotRun.retryAfter(NotRunReason.NO_ENDPOINT, 0));
    }
    OpenResult result = engines.open(endpoint.get(), call, ask.attemptId(), 0);
    if (result instanceof OpenResult.Opened opened) {
      return new ChatStart.Started(
          new Session(ask.attemptId(), granted.endpoint(), opened.stream()));
    }
    slots.release(ask.attemptId(), SlotUse.of(slotResult(result)));
    return ended(result);
  }

  private static SlotResult slotResult(OpenResult result) {
    if (result instanceof OpenResult.NotSent) {
      return SlotResult.UNREACHABLE;
    }
    if (result instanceof OpenResult.Rejected rejected) {
      return rejected.leaving() ? SlotResult.LEAVING : SlotResult.REJECTED;
    }
    return SlotResult.BROKEN;
  }

  private static ChatStart ended(OpenResult result) {
    if (result instanceof OpenResult.Rejected rejected) {
      return new ChatStart.Rejected(rejected.status(), rejected.message());
    }
    if (result instanceof OpenResult.Broken broken) {
      return new ChatStart.Ended(new Outcome.Unknown(broken.reason()));
    }
    return new ChatStart.Ended(Outcome.NotRun.retryAfter(NotRunReason.NO_ENDPOINT, RETRY_AFTER_MS));
  }

  private final class Session implements ChatSession {

    private final String attemptId;
    private final String endpoint;
    private final EngineStream stream;
    private SlotResult result = SlotResult.CANCELLED;
    private int tokens;

    Session(String attemptId, String endpoint, EngineStream stream) {
      this.attemptId = attemptId;
      this.endpoint = endpoint;
      this.stream = stream;
    }

    @Override
    public StreamEvent next() {
      StreamEvent event = stream.next();
      if (event instanceof StreamEvent.Token) {
        tokens++;
      } else {
        result = event instanceof StreamEvent.Finished ? SlotResult.COMPLETED : SlotResult.BROKEN;
      }
      return event;
    }

    @Override
    public String endpoint() {
      return endpoint;
    }

    @Override
    public void close() {
      stream.close();
      slots.release(attemptId, new SlotUse(result, tokens, 0));
    }
  }
}
