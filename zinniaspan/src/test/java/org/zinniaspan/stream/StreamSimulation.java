package org.zinniaspan.stream;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.configuration.TestConfigurations;
import org.zinniaspan.dispatch.LeaseRequest;
import org.zinniaspan.dispatch.LeaseResponse;
import org.zinniaspan.dispatch.SlotService;
import org.zinniaspan.dispatch.SlotUse;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.EndpointKind;
import org.zinniaspan.inventory.Inventory;
import org.zinniaspan.inventory.ServiceClass;
import org.zinniaspan.inventory.VmList;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.request.Outcome;
import org.zinniaspan.testkit.VirtualClock;

/**
 * Simulates one chat request in virtual time with scripted engines and slots; checks invariants.
 */
final class StreamSimulation {

  enum EngineFault {
    NONE,
    NOT_SENT,
    BROKEN_AT_OPEN,
    LEAVING,
    OVERLOADED,
    SERVER_ERROR,
    BAD_REQUEST,
    BREAK,
    STALL,
    MALFORMED,
    NOT_RESUMING,
    NOT_RESUMING_DIFFERENT,
    NOT_RESUMING_SHORTER
  }

  record EngineScript(EngineFault fault, int afterTokens) {}

  enum SlotFault {
    NONE,
    LATE,
    EXPIRED,
    REFUSED,
    GRANT_CROSSES_WITHDRAWAL
  }

  static final int LENGTH = 12;
  static final long TARGET_MS = 10_000;
  private static final long TOKEN_MS = 30;
  private static final int MAX_WAITS = 20;
  private static final ServiceClass CLASS =
      new ServiceClass("draft", 1, TARGET_MS, 0, 0, 64, false);

  final VirtualClock clock = new VirtualClock(1_000_000);
  final Deque<EngineScript> engineScripts = new ArrayDeque<>();
  final Deque<SlotFault> slotFaults = new ArrayDeque<>();
  boolean callerGone;
  int refuseFromRequest = Integer.MAX_VALUE;
  private int waits;
  private final Map<String, Slot> slots = new HashMap<>();
  private final StringBuilder received = new StringBuilder();
  private final ChatSession[] session = new ChatSession[1];
  private boolean mayHaveRun;
  private int tokensGiven;
  private int furthest;
  private boolean started;
  private boolean ended;
  private Optional<Slot> newest = Optional.empty();

  private static final class Slot {
    private final Runnable onPreempt;
    private final CompletableFuture<LeaseResponse> response = new CompletableFuture<>();
    private long expiresAtMs;
    private boolean granted;
    private boolean completedOnWithdrawal;
    private int releases;
    private boolean open;

    Slot(Runnable onPreempt) {
      this.onPreempt = onPreempt;
    }
  }

  static String token(int index) {
    return "w" + index * 7 + " ";
  }

  private static String answerText(int tokens) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < tokens; i++) {
      text.append(token(i));
    }
    return text.toString();
  }

  private ResumingChatRunner runner() {
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      endpoints.add(
          new Endpoint(
              "e" + i, EndpointKind.ENGINE, "z", "127.0.0.1:1", List.of("m"), "", 8, false, 0));
    }
    Inventory inventory = new Inventory(List.of(), List.of(), endpoints);
    Configuration configuration = TestConfigurations.of(inventory, new VmList(0, List.of()));
    return ResumingChatRunner.builder(new FakeSlots(), new FakeEngines())
        .configuration(() -> configuration)
        .clock(clock)
        .slotWait(this::await)
        .settings(StreamSettings.DEFAULTS)
        .build();
  }

  private boolean await(CompletableFuture<?> future, long timeoutMs) {
    if (!future.isDone()) {
      clock.advance(timeoutMs);
      slots.values().forEach(this::grantLate);
    }
    return future.isDone();
  }

  private void grantLate(Slot slot) {
    if (slot.completedOnWithdrawal) {
      callerGone |= ++waits > MAX_WAITS;
    } else if (!slot.granted && !slot.response.isDone()) {
      grant(slot, 500);
    }
  }

  private void grant(Slot slot, long validMs) {
    slot.granted = true;
    slot.expiresAtMs = clock.nowMs() + validMs;
    int number = 1 + slots.size() % 3;
    slot.response.complete(new LeaseResponse.Granted("e" + number, slot.expiresAtMs));
  }

  /** Reads one event like the gateway; starts the request at the first call. */
  void read() {
    if (ended) {
      return;
    }
    if (!started) {
      started = true;
      begin();
      return;
    }
    StreamEvent event = session[0].next();
    if (event instanceof StreamEvent.Token token) {
      received.append(token.text());
      checkPrefix();
    } else if (event instanceof StreamEvent.Finished) {
      assertThat(received.toString()).isEqualTo(answerText(LENGTH));
      close();
    } else {
      assertThat(event).isInstanceOf(StreamEvent.Broken.class);
      close();
    }
  }

  private void begin() {
    ChatCall call =
        new ChatCall(
            "r",
            "org",
            CLASS,
            "m",
            JsonNodeFactory.instance.objectNode(),
            10,
            64,
            List.of(),
            clock.nowMs());
    ChatStart start = runner().start(call, () -> callerGone);
    if (start instanceof ChatStart.Started opened) {
      session[0] = opened.session();
      return;
    }
    ended = true;
    if (start instanceof ChatStart.Ended end && end.outcome() instanceof Outcome.NotRun) {
      assertWithMessage("outcome is NotRun, but an engine may have run the request")
          .that(mayHaveRun)
          .isFalse();
    }
  }

  private void checkPrefix() {
    assertThat(answerText(LENGTH)).startsWith(received.toString());
  }

  void preempt() {
    newest.filter(slot -> slot.granted).ifPresent(slot -> slot.onPreempt.run());
  }

  void close() {
    ended = true;
    if (session[0] != null) {
      session[0].close();
      session[0].close();
    }
  }

  /** Ends the request; checks that each granted slot was released once and no engine still runs. */
  void finish() {
    for (int i = 0; i < 4 * LENGTH && !ended; i++) {
      read();
    }
    close();
    slots.forEach(
        (id, slot) -> {
          assertWithMessage("releases of " + id)
              .that(slot.releases)
              .isEqualTo(slot.granted ? 1 : 0);
          assertWithMessage("engine still runs after " + id).that(slot.open).isFalse();
        });
  }

  private final class FakeSlots implements SlotService {

    @Override
    public CompletableFuture<LeaseResponse> acquire(LeaseRequest request, Runnable onPreempt) {
      Slot slot = new Slot(onPreempt);
      assertThat(slots.put(request.attemptId(), slot)).isNull();
      newest = Optional.of(slot);
      SlotFault scripted = Optional.ofNullable(slotFaults.poll()).orElse(SlotFault.NONE);
      SlotFault fault = slots.size() >= refuseFromRequest ? SlotFault.REFUSED : scripted;
      slot.completedOnWithdrawal = fault == SlotFault.GRANT_CROSSES_WITHDRAWAL;
      switch (fault) {
        case NONE -> grant(slot, 500);
        case EXPIRED -> grant(slot, -1);
        case REFUSED ->
            slot.response.complete(
                new LeaseResponse.Refused(NotRunReason.OVERLOADED, Optional.of(100L)));
        default -> {}
      }
      return slot.response;
    }

    @Override
    public void withdraw(String attemptId) {
      Slot slot = slots.get(attemptId);
      if (slot.response.isDone()) {
        return;
      }
      if (slots.size() % 2 == 0) {
        grant(slot, 500);
      } else {
        slot.response.complete(
            new LeaseResponse.Refused(NotRunReason.CALLER_LEFT, Optional.empty()));
      }
    }

    @Override
    public void release(String attemptId, SlotUse use) {
      Slot slot = slots.get(attemptId);
      slot.releases++;
      assertWithMessage("released while the engine still runs").that(slot.open).isFalse();
    }
  }

  private final class FakeEngines implements EngineClient {

    @Override
    public boolean resumes(Endpoint endpoint) {
      EngineScript script = engineScripts.peek();
      return script == null || !script.fault().name().startsWith("NOT_RESUMING");
    }

    @Override
    public OpenResult open(Endpoint endpoint, ChatCall call, String attemptId, int resumeFrom) {
      Slot slot = slots.get(attemptId);
      assertWithMessage("request sent without a grant").that(slot.granted).isTrue();
      assertWithMessage("request sent after the slot was released")
          .that(slot.releases)
          .isEqualTo(0);
      assertWithMessage("request sent after the grant expired")
          .that(clock.nowMs())
          .isAtMost(slot.expiresAtMs);
      EngineScript script =
          Optional.ofNullable(engineScripts.poll()).orElse(new EngineScript(EngineFault.NONE, 0));
      if (script.fault() == EngineFault.NOT_SENT) {
        return new OpenResult.NotSent("refused");
      }
      if (script.fault() == EngineFault.BROKEN_AT_OPEN) {
        mayHaveRun = true;
        return new OpenResult.Broken("reset");
      }
      slot.open = true;
      return new OpenResult.Opened(new FakeStream(slot, script, resumeFrom));
    }
  }

  private final class FakeStream implements EngineStream {

    private final Slot slot;
    private final EngineScript script;
    private int index;
    private int given;
    private boolean closed;

    FakeStream(Slot slot, EngineScript script, int resumeFrom) {
      this.slot = slot;
      this.script = script;
      this.index = resumeFrom;
    }

    @Override
    public StreamEvent next() {
      return next(15_000);
    }

    @Override
    public StreamEvent next(long timeoutMs) {
      assertWithMessage("event read after close").that(closed).isFalse();
      Optional<StreamEvent> refusal = refusal();
      if (refusal.isPresent()) {
        return refusal.get();
      }
      mayHaveRun = true;
      if (given >= script.afterTokens()) {
        Optional<StreamEvent> fault = fault(timeoutMs);
        if (fault.isPresent()) {
          return fault.get();
        }
      }
      if (timeoutMs < TOKEN_MS) {
        clock.advance(timeoutMs);
        return new StreamEvent.Waiting();
      }
      clock.advance(TOKEN_MS);
      if (index >= LENGTH) {
        return new StreamEvent.Finished("stop");
      }
      final boolean differs = differsFromBefore();
      given++;
      tokensGiven++;
      furthest = Math.max(furthest, index + 1);
      return new StreamEvent.Token((differs ? "x" : "") + token(index++));
    }

    private boolean differsFromBefore() {
      return script.fault() == EngineFault.NOT_RESUMING_DIFFERENT && tokensGiven > given;
    }

    private Optional<StreamEvent> refusal() {
      return switch (script.fault()) {
        case LEAVING -> Optional.of(new StreamEvent.Rejected(503, true, "leaving"));
        case OVERLOADED -> Optional.of(new StreamEvent.Rejected(429, false, "busy"));
        case BAD_REQUEST -> Optional.of(new StreamEvent.Rejected(400, false, "bad"));
        default -> Optional.empty();
      };
    }

    private Optional<StreamEvent> fault(long timeoutMs) {
      return switch (script.fault()) {
        case SERVER_ERROR -> Optional.of(new StreamEvent.Rejected(500, false, "fault"));
        case BREAK, MALFORMED -> Optional.of(new StreamEvent.Broken("reset"));
        case NOT_RESUMING_SHORTER ->
            index < furthest ? Optional.of(new StreamEvent.Finished("stop")) : Optional.empty();
        case STALL -> {
          clock.advance(timeoutMs);
          yield Optional.of(new StreamEvent.Waiting());
        }
        default -> Optional.empty();
      };
    }

    @Override
    public void cancel() {
      close();
    }

    @Override
    public void close() {
      closed = true;
      slot.open = false;
    }
  }
}
