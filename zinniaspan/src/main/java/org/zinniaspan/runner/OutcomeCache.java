package org.zinniaspan.runner;

import com.google.protobuf.ByteString;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.peer.proto.OutcomeReply;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.request.Outcome;

/**
 * Caches the outcomes of this process's claims for retries; bounded by age and by size in bytes.
 *
 * <p>The oldest outcomes are evicted first; a retry that requests an evicted outcome gets the
 * outcome "unknown". State is guarded by this object's lock.
 */
final class OutcomeCache {

  private static final int ENTRY_OVERHEAD_BYTES = 200;
  private static final int MAX_RELAYED_BODY_BYTES = 250 * 1024;

  private record CachedOutcome(OutcomeReply reply, long storedMs) {
    long bytes() {
      return ENTRY_OVERHEAD_BYTES + reply.getBody().size();
    }
  }

  private final Map<String, CachedOutcome> byClaimId = new LinkedHashMap<>();
  private final Clock clock;
  private final long horizonMs;
  private final long maxBytes;
  private long bytes;

  OutcomeCache(Clock clock, long horizonMs, long maxBytes) {
    this.clock = clock;
    this.horizonMs = horizonMs;
    this.maxBytes = maxBytes;
  }

  /** Caches the outcome of a claim and returns it as a protocol message. */
  synchronized OutcomeReply put(String key, String claimId, CallResult result) {
    OutcomeReply reply = toReply(key, claimId, result);
    CachedOutcome stored = new CachedOutcome(reply, clock.nowMs());
    CachedOutcome old = byClaimId.put(claimId, stored);
    bytes += stored.bytes() - (old == null ? 0 : old.bytes());
    evict();
    return reply;
  }

  /** Returns the cached outcome of a claim, empty if there is none. */
  synchronized Optional<OutcomeReply> get(String claimId) {
    return Optional.ofNullable(byClaimId.get(claimId)).map(CachedOutcome::reply);
  }

  private void evict() {
    Iterator<CachedOutcome> oldest = byClaimId.values().iterator();
    while (oldest.hasNext()) {
      CachedOutcome candidate = oldest.next();
      boolean over = bytes > maxBytes || clock.nowMs() - candidate.storedMs() > horizonMs;
      if (!over) {
        return;
      }
      bytes -= candidate.bytes();
      oldest.remove();
    }
  }

  /** Converts a result to a protocol message; replaces a body that is too long by "unknown". */
  static OutcomeReply toReply(String key, String claimId, CallResult result) {
    OutcomeReply.Builder reply = OutcomeReply.newBuilder().setKey(key).setAttemptId(claimId);
    if (result.response().isPresent()
        && result.response().get().body().length > MAX_RELAYED_BODY_BYTES) {
      return reply
          .setKind(OutcomeReply.Kind.UNKNOWN)
          .setReason("the call ran; its answer is too long to be passed on")
          .build();
    }
    if (result.response().isPresent()) {
      ServiceResponse response = result.response().get();
      return reply
          .setKind(OutcomeReply.Kind.ANSWERED)
          .setStatus(response.status())
          .setContentType(response.contentType())
          .setBody(ByteString.copyFrom(response.body()))
          .build();
    }
    if (result.outcome() instanceof Outcome.NotRun notRun) {
      return reply.setKind(OutcomeReply.Kind.NOT_RUN).setReason(notRun.reason().name()).build();
    }
    String reason =
        result.outcome() instanceof Outcome.Unknown unknown ? unknown.reason() : "no answer";
    return reply.setKind(OutcomeReply.Kind.UNKNOWN).setReason(reason).build();
  }

  /**
   * Converts a protocol message to a result.
   *
   * @param reply the message
   * @param retryAfterMs milliseconds to wait before a retry of a call that was not run, 0 if none
   */
  static CallResult toResult(OutcomeReply reply, long retryAfterMs) {
    if (reply.getKind() == OutcomeReply.Kind.ANSWERED) {
      byte[] body = reply.getBody().toByteArray();
      return CallResult.answered(
          new ServiceResponse(reply.getStatus(), reply.getContentType(), body));
    }
    if (reply.getKind() == OutcomeReply.Kind.NOT_RUN) {
      NotRunReason reason = NotRunReason.valueOf(reply.getReason());
      Optional<Long> after = Optional.of(retryAfterMs).filter(ms -> ms > 0);
      return CallResult.notRun(reason, after);
    }
    return CallResult.unknown(reply.getReason());
  }
}
