package org.zinniaspan.runner;

/**
 * Times and bounds of calls that run at most once.
 *
 * @param horizonMs milliseconds for which a key is remembered after its last claim
 * @param startTimeoutMs longest time, in milliseconds, from the arrival of a call to its dispatch
 * @param voteValidMs milliseconds after the ask during which a vote permits the dispatch
 * @param replyTimeoutMs milliseconds after which a voter or holder without answer counts as out of
 *     reach
 * @param resendPeriodMs milliseconds between two asks for a lost or adverse vote
 * @param maxClaims claims that a voter remembers at most; at the bound it accepts no new ones
 * @param maxOutcomeBytes bytes of answers that a VM keeps for retries
 */
public record AtMostOnceSettings(
    long horizonMs,
    long startTimeoutMs,
    long voteValidMs,
    long replyTimeoutMs,
    long resendPeriodMs,
    int maxClaims,
    long maxOutcomeBytes) {

  /** The defaults, for a horizon of two minutes. */
  public static final AtMostOnceSettings DEFAULTS =
      new AtMostOnceSettings(120_000, 4_000, 1_000, 800, 100, 20_000, 4 * 1024 * 1024);

  /** Longest time, in milliseconds, without news of the list after which a voter abstains. */
  public long maxListAgeMs() {
    return horizonMs / 2;
  }

  /** Milliseconds after an answer of not run in which no earlier attempt may be dispatched. */
  public long blockMs() {
    return startTimeoutMs + voteValidMs;
  }
}
