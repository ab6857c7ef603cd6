package org.zinniaspan.dispatch;

import java.util.Optional;
import org.zinniaspan.request.NotRunReason;

/** The final response to a {@link LeaseRequest}. */
public sealed interface LeaseResponse {

  /**
   * A slot of an endpoint was granted.
   *
   * @param endpoint name of the endpoint
   * @param expiresAtMs time until which the work may start, by the gateway's clock
   */
  record Granted(String endpoint, long expiresAtMs) implements LeaseResponse {}

  /**
   * The request was refused and will not be granted later.
   *
   * @param reason why it was refused
   * @param retryAfterMs milliseconds after which to retry, empty if a retry is pointless
   */
  record Refused(NotRunReason reason, Optional<Long> retryAfterMs) implements LeaseResponse {}
}
