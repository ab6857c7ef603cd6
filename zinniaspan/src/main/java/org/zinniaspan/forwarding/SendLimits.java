package org.zinniaspan.forwarding;

import java.util.List;
import java.util.Optional;

/**
 * What bounds the requests that all VMs together send to endpoints.
 *
 * @param requests the request limits that endpoints state
 * @param rejections the rejection limits that endpoints state
 */
public record SendLimits(RequestLimits requests, RejectionLimits rejections) {

  private List<SendLimit> all() {
    return List.of(requests, rejections);
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
    return all().stream().mapToLong(limit -> limit.remainingMs(endpoint)).max().orElse(0);
  }

  /** Returns whether an endpoint has a limit, so that there may be room at any time. */
  public boolean applyTo(ListedEndpoint endpoint) {
    return all().stream().anyMatch(limit -> limit.appliesTo(endpoint));
  }

  /** Records that a request is sent to an endpoint. */
  public void onSent(ListedEndpoint endpoint) {
    all().forEach(limit -> limit.onSent(endpoint));
  }
}
