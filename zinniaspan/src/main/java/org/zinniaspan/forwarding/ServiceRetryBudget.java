package org.zinniaspan.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.IntSupplier;
import org.zinniaspan.clock.Clock;

/**
 * This VM's part of the retry budget that all VMs share for one service.
 *
 * <p>In each window a VM makes at most the allowed ratio of retries to its own requests, and its
 * share of the slack. The sum over all VMs then stays within the ratio and the slack without
 * coordination. Not thread-safe.
 */
public final class ServiceRetryBudget {

  /** Number of parts into which the window is divided to count requests. */
  private static final int BUCKETS_PER_WINDOW = 10;

  /**
   * Largest share of the slack that one VM takes, in retries per window; it bounds the sum where a
   * VM knows of few others.
   */
  private static final double MAX_SLACK_SHARE = 1;

  private record Bucket(long number, long requests) {}

  private final Clock clock;
  private final PlatformBounds bounds;
  private final IntSupplier vmCount;
  private final Deque<Bucket> requestBuckets = new ArrayDeque<>();
  private final Deque<Long> retryTimesMs = new ArrayDeque<>();
  private long requests;

  /**
   * Creates a budget without requests.
   *
   * @param bounds ratio, slack and window of the overall budget
   * @param vmCount number of VMs that share the slack, as far as they are known; at least 1
   */
  public ServiceRetryBudget(Clock clock, PlatformBounds bounds, IntSupplier vmCount) {
    this.clock = clock;
    this.bounds = bounds;
    this.vmCount = vmCount;
  }

  /** Counts a client's request for the service. */
  public void onRequest() {
    long number = currentBucket();
    Bucket last = requestBuckets.peekLast();
    if (last != null && last.number() == number) {
      requestBuckets.pollLast();
      requestBuckets.addLast(new Bucket(number, last.requests() + 1));
    } else {
      requestBuckets.addLast(new Bucket(number, 1));
    }
    requests++;
    removeExpired();
  }

  /** Takes one retry if one is available; otherwise returns false and takes nothing. */
  public boolean tryAcquire() {
    removeExpired();
    double slackShare =
        Math.min(MAX_SLACK_SHARE, (double) bounds.retrySlack() / Math.max(1, vmCount.getAsInt()));
    if (retryTimesMs.size() + 1 > bounds.retryRatio() * requests + slackShare) {
      return false;
    }
    retryTimesMs.addLast(clock.nowMs());
    return true;
  }

  private void removeExpired() {
    long oldest = currentBucket() - BUCKETS_PER_WINDOW;
    while (!requestBuckets.isEmpty() && requestBuckets.peekFirst().number() <= oldest) {
      requests -= requestBuckets.pollFirst().requests();
    }
    long startMs = clock.nowMs() - bounds.retryWindowMs();
    while (!retryTimesMs.isEmpty() && retryTimesMs.peekFirst() < startMs) {
      retryTimesMs.pollFirst();
    }
  }

  private long currentBucket() {
    return Math.floorDiv(clock.nowMs(), Math.max(1, bounds.retryWindowMs() / BUCKETS_PER_WINDOW));
  }
}
