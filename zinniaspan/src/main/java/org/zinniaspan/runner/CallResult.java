package org.zinniaspan.runner;

import java.util.Optional;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.request.Outcome;

/**
 * What became of a call to a plain service.
 *
 * @param outcome the outcome
 * @param answer the service's answer, present if the outcome is {@code Answered}
 */
public record CallResult(Outcome outcome, Optional<CallAnswer> answer) {

  /** Returns the result of a call that the service answered. */
  public static CallResult answered(CallAnswer answer) {
    return new CallResult(new Outcome.Answered(answer.status()), Optional.of(answer));
  }

  /** Returns the result of a call that was not run and may be made again after a while. */
  public static CallResult notRun(NotRunReason reason, Optional<Long> retryAfterMs) {
    return new CallResult(new Outcome.NotRun(reason, retryAfterMs), Optional.empty());
  }

  /** Returns the result of a call that may have run. */
  public static CallResult unknown(String reason) {
    return new CallResult(new Outcome.Unknown(reason), Optional.empty());
  }
}
