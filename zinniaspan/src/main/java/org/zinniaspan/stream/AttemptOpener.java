package org.zinniaspan.stream;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.dispatch.LeaseRequest;
import org.zinniaspan.dispatch.LeaseResponse;
import org.zinniaspan.dispatch.SlotUse;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.log.EventLog;

/** Gets slots for one request and opens engines; used by one thread. */
final class AttemptOpener {

  /** What came of an ask. */
  sealed interface Opening {

    record Running(Attempt attempt) implements Opening {}

    record Failed(Setback setback) implements Opening {}

    record Refused(LeaseResponse.Refused answer) implements Opening {}
  }

  private final StreamParts parts;
  private final ChatCall call;
  private final DeliveredText delivered;
  private final Set<String> excluded = new HashSet<>();
  private int asks;

  AttemptOpener(StreamParts parts, ChatCall call, DeliveredText delivered) {
    this.parts = parts;
    this.call = call;
    this.delivered = delivered;
  }

  /** Returns how many slots were asked for. */
  int asks() {
    return asks;
  }

  /** Keeps the endpoint out of the next asks, unless it is the pool's last. */
  void exclude(String endpoint) {
    excluded.add(endpoint);
    Pool pool = Pool.model(call.model());
    boolean anyLeft =
        parts.endpoints().apply(pool).stream().anyMatch(e -> !excluded.contains(e.name()));
    if (!anyLeft) {
      excluded.clear();
    }
  }

  /** Asks for a slot, waits for it and opens its endpoint. */
  Opening open(BooleanSupplier callerLeft) {
    SlotLease lease = SlotLease.ask(parts.slots(), ask());
    LeaseResponse answer = lease.await(parts.slotWait(), callerLeft);
    if (answer instanceof LeaseResponse.Granted granted) {
      return openGranted(lease, granted);
    }
    return new Opening.Refused((LeaseResponse.Refused) answer);
  }

  private LeaseRequest ask() {
    asks++;
    return new LeaseRequest(
        call.requestId() + "-" + asks,
        Pool.model(call.model()),
        call.serviceClass(),
        call.organisation(),
        call.arrivedMs(),
        deadlineMs(),
        call.promptTokens(),
        expectedTokens(),
        call.prefixDigests(),
        excluded,
        !call.serviceClass().nonIdempotent());
  }

  private long deadlineMs() {
    if (asks == 1) {
      return call.firstTokenDueMs();
    }
    long patienceMs =
        delivered.tokens() == 0
            ? parts.settings().lateGraceMs()
            : parts.settings().resumePatienceMs();
    return Math.max(call.firstTokenDueMs(), parts.clock().nowMs() + patienceMs);
  }

  private int expectedTokens() {
    int whole =
        parts.estimates().expected(call.serviceClass().name(), call.organisation(), call.model());
    if (whole == 0) {
      return 0;
    }
    return Math.max(1, Math.min(whole, call.maxTokens()) - delivered.tokens());
  }

  /** Opens the granted endpoint, unless the grant has expired. */
  Opening openGranted(SlotLease lease, LeaseResponse.Granted granted) {
    Optional<Endpoint> endpoint =
        parts.configuration().get().inventory().endpoint(granted.endpoint());
    if (endpoint.isEmpty()) {
      return unused(lease, granted.endpoint() + " is not in the inventory");
    }
    if (parts.clock().nowMs() > granted.expiresAtMs()) {
      return unused(lease, "grant of " + granted.endpoint() + " has expired");
    }
    return send(lease, endpoint.get());
  }

  private static Opening unused(SlotLease lease, String reason) {
    Setback setback = Setback.unused(reason);
    lease.release(SlotUse.of(setback.result()));
    return new Opening.Failed(setback);
  }

  private Opening send(SlotLease lease, Endpoint endpoint) {
    final boolean resumes = parts.engines().resumes(endpoint);
    final int resumeFrom = resumes ? delivered.tokens() : 0;
    log(lease, endpoint, resumeFrom);
    OpenResult result = parts.engines().open(endpoint, call, lease.attemptId(), resumeFrom);
    if (result instanceof OpenResult.Opened opened) {
      Attempt attempt = attempt(lease, endpoint, opened.stream());
      if (!resumes) {
        attempt.skipDelivered();
      }
      return new Opening.Running(attempt);
    }
    Setback setback = setback(result);
    lease.release(SlotUse.of(setback.result()));
    exclude(endpoint.name());
    return new Opening.Failed(setback);
  }

  private Attempt attempt(SlotLease lease, Endpoint endpoint, EngineStream stream) {
    Clock clock = parts.clock();
    long now = clock.nowMs();
    StallDetector stall = new StallDetector(parts.settings(), now, call.firstTokenDueMs() - now);
    return new Attempt(lease, endpoint.name(), stream, delivered, stall, clock);
  }

  private static Setback setback(OpenResult result) {
    if (result instanceof OpenResult.NotSent notSent) {
      return Setback.notSent(notSent.reason());
    }
    if (result instanceof OpenResult.Rejected rejected) {
      return Setback.rejected(rejected.status(), rejected.leaving(), rejected.message());
    }
    return Setback.broken(((OpenResult.Broken) result).reason());
  }

  private void log(SlotLease lease, Endpoint endpoint, int resumeFrom) {
    EventLog.event("attempt")
        .with("requestId", call.requestId())
        .with("attemptId", lease.attemptId())
        .with("class", call.serviceClass().name())
        .with("endpoint", endpoint.name())
        .with("resumeFrom", resumeFrom)
        .info();
  }
}
