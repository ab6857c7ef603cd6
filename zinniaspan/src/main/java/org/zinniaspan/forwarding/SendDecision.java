package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.List;

/** Where a request is sent next. */
public sealed interface SendDecision {

  /**
   * To one of some endpoints.
   *
   * @param candidates endpoints that this VM reaches and that take requests; empty if the service
   *     has none that fits the request
   * @param heldBack further endpoints, for a request that none of the candidates takes
   */
  record ToEndpoint(List<TrackedEndpoint> candidates, List<TrackedEndpoint> heldBack)
      implements SendDecision {

    /** Creates a decision without further endpoints. */
    ToEndpoint(List<TrackedEndpoint> candidates) {
      this(candidates, List.of());
    }
  }

  /** Through another VM, as this one reaches none of the endpoints. */
  record ThroughVm() implements SendDecision {}

  /**
   * Nowhere at the moment, as no endpoint takes requests of this VM.
   *
   * @param remainingMs time until the first one does, in milliseconds; 0 if that is not known
   * @param limited whether some of them state a limit, so that there may be room at any time
   */
  record Paused(long remainingMs, boolean limited) implements SendDecision {}

  /**
   * Decides on a request.
   *
   * @param candidates endpoints that fit the request
   */
  static SendDecision of(
      List<TrackedEndpoint> candidates,
      EndpointBackoff backoff,
      SendLimits limits,
      EndpointReachability reachability) {
    if (candidates.isEmpty()) {
      return new ToEndpoint(candidates);
    }
    List<TrackedEndpoint> admitting = new ArrayList<>();
    long remainingMs = Long.MAX_VALUE;
    for (TrackedEndpoint candidate : candidates) {
      long pausedMs =
          Math.max(backoff.remainingMs(candidate.listed()), limits.remainingMs(candidate));
      remainingMs = Math.min(remainingMs, pausedMs);
      if (pausedMs <= 0) {
        admitting.add(candidate);
      }
    }
    if (admitting.isEmpty()) {
      boolean limited = candidates.stream().anyMatch(e -> limits.applyTo(e.listed()));
      return new Paused(remainingMs, limited);
    }
    List<TrackedEndpoint> reachable =
        admitting.stream().filter(e -> reachability.isReachable(e.listed().id())).toList();
    if (reachable.isEmpty() || reachability.isLost()) {
      return new ThroughVm();
    }
    List<TrackedEndpoint> heldBack = reachable.stream().filter(limits::avoid).toList();
    return heldBack.isEmpty() || heldBack.size() == reachable.size()
        ? new ToEndpoint(reachable)
        : new ToEndpoint(reachable.stream().filter(e -> !heldBack.contains(e)).toList(), heldBack);
  }
}
