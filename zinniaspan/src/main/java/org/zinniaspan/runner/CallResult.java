package org.zinniaspan.runner;

import java.util.Optional;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.request.Outcome;

/**
 * What became of a call to a plain service.
 *
 * @param outcome the outcome
 * @param response the service's answer, present if the outcome is {@code Answered}
 */
public record CallResult(Outcome outcome, Optional<ServiceResponse> response) {

  /** Returns the result of a call that the service answered. */
  public static CallResult answered(ServiceResponse response) {
    return new CallResult(new Outcome.Answered(response.status()), Optional.of(response));
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
