package org.zinniaspan.runner;

import java.util.Optional;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.request.Outcome;

/**
 * Result of a call to a plain service.
 *
 * @param outcome whether the call was answered, was not run, or may have run
 * @param response the service's response, present if the outcome is {@code Answered}
 */
public record CallResult(Outcome outcome, Optional<ServiceResponse> response) {

  /** Returns the result of a call that the service answered. */
  public static CallResult answered(ServiceResponse response) {
    return new CallResult(new Outcome.Answered(response.status()), Optional.of(response));
  }

  /**
   * Returns the result of a call that was not run.
   *
   * @param reason why it was not run
   * @param retryAfterMs milliseconds after which the caller may retry, empty if not known
   */
  public static CallResult notRun(NotRunReason reason, Optional<Long> retryAfterMs) {
    return new CallResult(new Outcome.NotRun(reason, retryAfterMs), Optional.empty());
  }

  /** Returns the result of a call that may have run. */
  public static CallResult unknown(String reason) {
    return new CallResult(new Outcome.Unknown(reason), Optional.empty());
  }
}
