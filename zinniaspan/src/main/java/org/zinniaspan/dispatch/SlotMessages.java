package org.zinniaspan.dispatch;

import java.util.Optional;
import java.util.Set;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.inventory.Rules;
import org.zinniaspan.inventory.ServiceClass;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.SlotRelease;
import org.zinniaspan.peer.proto.SlotRequest;

/** Converts between lease requests and the messages of the peer protocol. */
final class SlotMessages {

  private SlotMessages() {}

  /**
   * Returns a message that carries all of a request but its sequence and round; its times are
   * relative to {@code nowMs}.
   */
  static SlotRequest.Builder encodeRequest(LeaseRequest request, long nowMs) {
    return SlotRequest.newBuilder()
        .setAttemptId(request.attemptId())
        .setPool(request.pool().id())
        .setServiceClass(request.serviceClass().name())
        .setTier(request.serviceClass().tier())
        .setOrganisation(request.organisation())
        .setBudgetMs(request.deadlineMs() - nowMs)
        .setWaitedMs(nowMs - request.arrivedMs())
        .setPromptTokens(request.promptTokens())
        .setOutputTokens(request.outputTokens())
        .addAllPrefixDigests(request.prefixDigests())
        .addAllExcludedEndpoints(request.excluded())
        .setPreemptible(request.preemptible());
  }

  /** Returns the request in a message, with times by the receiver's clock. */
  static LeaseRequest decodeRequest(SlotRequest request, Rules rules, long nowMs) {
    ServiceClass serviceClass =
        rules
            .serviceClass(request.getServiceClass())
            .filter(known -> known.tier() == request.getTier())
            .orElseGet(() -> unknownClass(request));
    return new LeaseRequest(
        request.getAttemptId(),
        Pool.parse(request.getPool()),
        serviceClass,
        request.getOrganisation(),
        nowMs - request.getWaitedMs(),
        nowMs + request.getBudgetMs(),
        request.getPromptTokens(),
        request.getOutputTokens(),
        request.getPrefixDigestsList(),
        Set.copyOf(request.getExcludedEndpointsList()),
        request.getPreemptible());
  }

  /**
   * Returns a service class with the message's name and tier, used if the receiver's rules have no
   * class with both.
   */
  private static ServiceClass unknownClass(SlotRequest request) {
    long targetMs = request.getBudgetMs() + request.getWaitedMs();
    return new ServiceClass(
        request.getServiceClass(), request.getTier(), Math.max(1, targetMs), 0, 0, 0, false);
  }

  static SlotUse decodeUse(SlotRelease release) {
    SlotResult result = SlotResult.valueOf(release.getResult());
    return new SlotUse(
        result, release.getOutputTokens(), release.getFirstTokenMs(), release.getDurationMs());
  }

  static SlotRelease encodeRelease(LeaseRequest request, String endpoint, SlotUse use) {
    return SlotRelease.newBuilder()
        .setAttemptId(request.attemptId())
        .setPool(request.pool().id())
        .setEndpoint(endpoint)
        .setResult(use.result().name())
        .setOutputTokens(use.outputTokens())
        .setFirstTokenMs(use.firstTokenMs())
        .setDurationMs(use.durationMs())
        .build();
  }

  /** Returns the pool that a message concerns, empty if it concerns none. */
  static Optional<Pool> poolOf(Envelope message) {
    String id =
        switch (message.getBodyCase()) {
          case SLOT_REQUEST -> message.getSlotRequest().getPool();
          case SLOT_GRANT -> message.getSlotGrant().getPool();
          case SLOT_REFUSAL -> message.getSlotRefusal().getPool();
          case SLOT_RELEASE -> message.getSlotRelease().getPool();
          case SLOT_PREEMPTION -> message.getSlotPreemption().getPool();
          case SLOT_REGISTRATION -> message.getSlotRegistration().getPool();
          case SLOT_RECEIPT -> message.getSlotReceipt().getPool();
          case SLOT_ACCEPTANCE -> message.getSlotAcceptance().getPool();
          case SLOT_REGISTRATION_CALL -> message.getSlotRegistrationCall().getPool();
          default -> "";
        };
    return id.isEmpty() ? Optional.empty() : Optional.of(Pool.parse(id));
  }
}
