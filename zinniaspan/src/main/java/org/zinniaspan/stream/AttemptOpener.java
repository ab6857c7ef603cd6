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

/** Acquires slots for one chat request and opens engine streams; used by one thread. */
final class AttemptOpener {

  /** Result of opening an attempt. */
  sealed interface AttemptResult {

    /** The engine's stream is open. */
    record Running(Attempt attempt) implements AttemptResult {}

    /** A slot was granted, but the engine's stream was not opened. */
    record Failed(AttemptFailure failure) implements AttemptResult {}

    /** No slot was granted. */
    record Refused(LeaseResponse.Refused response) implements AttemptResult {}
  }

  private final StreamDependencies dependencies;
  private final ChatCall call;
  private final DeliveredText delivered;
  private final Set<String> excluded = new HashSet<>();
  private int leaseRequests;

  AttemptOpener(StreamDependencies dependencies, ChatCall call, DeliveredText delivered) {
    this.dependencies = dependencies;
    this.call = call;
    this.delivered = delivered;
  }

  /** Returns the number of lease requests made. */
  int leaseRequests() {
    return leaseRequests;
  }

  /**
   * Excludes the endpoint from further lease requests.
   *
   * <p>If no endpoint of the pool is left, all exclusions are cleared.
   */
  void exclude(String endpoint) {
    excluded.add(endpoint);
    Pool pool = Pool.model(call.model());
    boolean anyLeft =
        dependencies.endpoints().apply(pool).stream().anyMatch(e -> !excluded.contains(e.name()));
    if (!anyLeft) {
      excluded.clear();
    }
  }

  /** Requests a slot, waits for the response and opens a stream at the granted endpoint. */
  AttemptResult open(BooleanSupplier callerLeft) {
    SlotLease lease = SlotLease.request(dependencies.slots(), newLeaseRequest());
    LeaseResponse response = lease.await(dependencies.slotWait(), callerLeft);
    if (response instanceof LeaseResponse.Granted granted) {
      return openGranted(lease, granted);
    }
    return new AttemptResult.Refused((LeaseResponse.Refused) response);
  }

  private LeaseRequest newLeaseRequest() {
    leaseRequests++;
    return new LeaseRequest(
        call.requestId() + "-" + leaseRequests,
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
    if (leaseRequests == 1) {
      return call.firstTokenDueMs();
    }
    long slotWaitMs =
        delivered.tokens() == 0
            ? dependencies.settings().lateGraceMs()
            : dependencies.settings().resumeSlotWaitMs();
    return Math.max(call.firstTokenDueMs(), dependencies.clock().nowMs() + slotWaitMs);
  }

  private int expectedTokens() {
    int totalTokens =
        dependencies
            .outputLengthEstimator()
            .expectedTokens(call.serviceClass().name(), call.organisation(), call.model());
    if (totalTokens == 0) {
      return 0;
    }
    return Math.max(1, Math.min(totalTokens, call.maxTokens()) - delivered.tokens());
  }

  /**
   * Opens a stream at the granted endpoint; fails without sending if the endpoint is not in the
   * inventory or the grant has expired.
   */
  AttemptResult openGranted(SlotLease lease, LeaseResponse.Granted granted) {
    Optional<Endpoint> endpoint =
        dependencies.configuration().get().inventory().endpoint(granted.endpoint());
    if (endpoint.isEmpty()) {
      return unused(lease, granted.endpoint() + " is not in the inventory");
    }
    if (dependencies.clock().nowMs() > granted.expiresAtMs()) {
      return unused(lease, "grant of " + granted.endpoint() + " has expired");
    }
    return send(lease, endpoint.get());
  }

  private static AttemptResult unused(SlotLease lease, String reason) {
    AttemptFailure failure = AttemptFailure.unused(reason);
    lease.release(SlotUse.of(failure.result()));
    return new AttemptResult.Failed(failure);
  }

  private AttemptResult send(SlotLease lease, Endpoint endpoint) {
    final boolean resumes = dependencies.engines().resumes(endpoint);
    final int resumeFrom = resumes ? delivered.tokens() : 0;
    log(lease, endpoint, resumeFrom);
    OpenResult result = dependencies.engines().open(endpoint, call, lease.attemptId(), resumeFrom);
    if (result instanceof OpenResult.Opened opened) {
      Attempt attempt = attempt(lease, endpoint, opened.stream());
      if (!resumes) {
        attempt.skipDelivered();
      }
      return new AttemptResult.Running(attempt);
    }
    AttemptFailure failure = failure(result);
    lease.release(SlotUse.of(failure.result()));
    exclude(endpoint.name());
    return new AttemptResult.Failed(failure);
  }

  private Attempt attempt(SlotLease lease, Endpoint endpoint, EngineStream stream) {
    Clock clock = dependencies.clock();
    long now = clock.nowMs();
    StallDetector stall =
        new StallDetector(dependencies.settings(), now, call.firstTokenDueMs() - now);
    return new Attempt(lease, endpoint.name(), stream, delivered, stall, clock);
  }

  private static AttemptFailure failure(OpenResult result) {
    if (result instanceof OpenResult.NotSent notSent) {
      return AttemptFailure.notSent(notSent.reason());
    }
    if (result instanceof OpenResult.Rejected rejected) {
      return AttemptFailure.rejected(rejected.status(), rejected.leaving(), rejected.message());
    }
    return AttemptFailure.broken(((OpenResult.Broken) result).reason());
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
