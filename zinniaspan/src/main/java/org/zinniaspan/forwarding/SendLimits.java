package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What bounds the requests that all VMs together send to endpoints.
 *
 * @param requests the request limits that endpoints state
 * @param rejections the rejection limits that endpoints state
 * @param slots slots of endpoints with a rejection limit
 * @param others limits on endpoints that are cold or have just started or recovered
 */
public record SendLimits(
    RequestLimits requests,
    RejectionLimits rejections,
    AssignedSlots slots,
    List<SendLimit> others) {

  /** Creates limits without assigned slots and other limits. */
  public SendLimits(RequestLimits requests, RejectionLimits rejections) {
    this(requests, rejections, AssignedSlots.NONE, List.of());
  }

  /** Returns these limits with other assigned slots. */
  public SendLimits withSlots(AssignedSlots other) {
    return new SendLimits(requests, rejections, other, others);
  }

  /** Returns these limits with other limits besides those that endpoints state. */
  public SendLimits withOthers(List<SendLimit> limits) {
    return new SendLimits(requests, rejections, slots, List.copyOf(limits));
  }

  private List<SendLimit> all() {
    List<SendLimit> all = new ArrayList<>(others);
    all.add(requests);
    all.add(rejections);
    return all;
  }

  /**
   * Records what a response of an endpoint states.
   *
   * @param requestsPerSecond requests a second that it takes from all VMs, if it states a limit
   * @param rejectionsPerSecond rejections in a second beyond which it fails, if it states a limit
   */
  public void onResponse(
      ListedEndpoint endpoint,
      Optional<Double> requestsPerSecond,
      Optional<Integer> rejectionsPerSecond) {
    requests.onResponse(endpoint, requestsPerSecond);
    rejections.onResponse(endpoint, rejectionsPerSecond);
  }

  /** Returns whether an endpoint takes another request of this VM now. */
  public boolean admits(TrackedEndpoint endpoint) {
    return remainingMs(endpoint) <= 0;
  }

  /** Returns the time until this VM may send to an endpoint, in milliseconds. */
  public long remainingMs(TrackedEndpoint endpoint) {
    long remainingMs = Math.max(requests.remainingMs(endpoint), rejectionRemainingMs(endpoint));
    for (SendLimit other : others) {
      if (!other.isPreference()) {
        remainingMs = Math.max(remainingMs, other.remainingMs(endpoint));
      }
    }
    return remainingMs;
  }

  /** Returns what {@link #remainingMs} returns, but changes no state. */
  long peekMs(TrackedEndpoint endpoint) {
    ListedEndpoint listed = endpoint.listed();
    long rejectionMs =
        slots.areRequired(listed)
            ? Math.max(rejections.pausedMs(listed), slots.remainingMs(listed))
            : rejections.peekMs(endpoint);
    return others.stream()
        .filter(limit -> !limit.isPreference())
        .mapToLong(limit -> limit.peekMs(endpoint))
        .reduce(Math.max(requests.peekMs(endpoint), rejectionMs), Math::max);
  }

  /** Returns what {@link #avoid} returns, but changes no state. */
  boolean peekAvoid(TrackedEndpoint endpoint) {
    return others.stream().anyMatch(limit -> limit.isPreference() && limit.peekMs(endpoint) > 0);
  }

  /** Returns whether requests are better sent to other endpoints, if one takes them. */
  public boolean avoid(TrackedEndpoint endpoint) {
    return others.stream()
        .anyMatch(limit -> limit.isPreference() && limit.remainingMs(endpoint) > 0);
  }

  private long rejectionRemainingMs(TrackedEndpoint endpoint) {
    ListedEndpoint listed = endpoint.listed();
    return slots.areRequired(listed)
        ? Math.max(rejections.pausedMs(listed), slots.remainingMs(listed))
        : rejections.remainingMs(endpoint);
  }

  /** Returns whether an endpoint has a limit, so that there may be room at any time. */
  public boolean applyTo(ListedEndpoint endpoint) {
    return all().stream().anyMatch(limit -> !limit.isPreference() && limit.appliesTo(endpoint));
  }

  /** Records that a request is sent to an endpoint. */
  public void onSent(ListedEndpoint endpoint) {
    all().forEach(limit -> limit.onSent(endpoint));
    slots.onSent(endpoint);
  }

  /** Records that a connection to an endpoint could not be opened. */
  public void onConnectFailed(ListedEndpoint endpoint) {
    others.forEach(limit -> limit.onConnectFailed(endpoint));
  }

  /** Records that a new connection to an endpoint was opened. */
  public void onConnected(ListedEndpoint endpoint) {
    others.forEach(limit -> limit.onConnected(endpoint));
  }
}
