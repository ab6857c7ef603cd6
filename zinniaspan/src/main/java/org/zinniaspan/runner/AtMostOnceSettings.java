package org.zinniaspan.runner;

/**
 * Timeouts and limits of calls that run at most once.
 *
 * @param horizonMs milliseconds for which a key is remembered after its last claim (the retry
 *     horizon)
 * @param startTimeoutMs longest time, in milliseconds, from the arrival of a call to its dispatch
 * @param voteValidMs milliseconds for which a vote permits the dispatch, counted from its claim
 *     request
 * @param replyTimeoutMs milliseconds without a reply after which a voter, holder or receiver counts
 *     as unreachable
 * @param resendPeriodMs milliseconds between two requests for the same vote or outcome, which is
 *     repeated if the reply is lost or the vote is negative
 * @param maxClaims maximum number of keys that a voter stores; at the limit it accepts no new ones
 * @param maxOutcomeBytes maximum size, in bytes, of the outcomes that a VM caches for retries
 */
public record AtMostOnceSettings(
    long horizonMs,
    long startTimeoutMs,
    long voteValidMs,
    long replyTimeoutMs,
    long resendPeriodMs,
    int maxClaims,
    long maxOutcomeBytes) {

  /** Default settings, with a retry horizon of two minutes. */
  public static final AtMostOnceSettings DEFAULTS =
      new AtMostOnceSettings(120_000, 4_000, 1_000, 800, 100, 20_000, 4 * 1024 * 1024);

  /**
   * Returns the longest time, in milliseconds, without news of the list of VMs, from the platform
   * or from all other voters, for which a voter still votes.
   */
  public long maxListAgeMs() {
    return horizonMs / 2;
  }

  /**
   * Returns the milliseconds for which a key is blocked after a "not run" answer. When they have
   * passed, no earlier attempt can be dispatched any more.
   */
  public long blockMs() {
    return startTimeoutMs + voteValidMs;
  }
}
