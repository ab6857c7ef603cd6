package org.zinniaspan.dispatch;

import java.util.Optional;
import org.zinniaspan.request.NotRunReason;

/** The final answer to a {@link LeaseRequest}. */
public sealed interface LeaseResponse {

  /**
   * One slot of an endpoint is lent.
   *
   * @param endpoint name of the endpoint
   * @param expiresAtMs time until which the work may start, by the gateway's clock
   */
  record Granted(String endpoint, long expiresAtMs) implements LeaseResponse {}

  /**
   * No slot is lent, now or later, to this ask.
   *
   * @param reason why
   * @param retryAfterMs when to ask again, empty where that is pointless
   */
  record Refused(NotRunReason reason, Optional<Long> retryAfterMs) implements LeaseResponse {}
}
