package org.zinniaspan.dispatch;

import java.util.List;
import java.util.Set;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.inventory.ServiceClass;

/**
 * A gateway's request to lease one slot of a pool. Times are in milliseconds by the clock of the
 * process that reads them.
 *
 * @param attemptId unique id of the attempt
 * @param pool pool of endpoints
 * @param serviceClass class of the caller's request
 * @param organisation organisation that made the call
 * @param arrivedMs time at which the caller's request arrived
 * @param deadlineMs time at which the first token is due
 * @param promptTokens length of the prompt in tokens
 * @param outputTokens expected length of the output in tokens, zero if unknown
 * @param prefixDigests digests of the prompt's prefixes, shortest first
 * @param excluded names of endpoints that must not be chosen
 * @param preemptible whether the work may be stopped and resumed elsewhere
 */
public record LeaseRequest(
    String attemptId,
    Pool pool,
    ServiceClass serviceClass,
    String organisation,
    long arrivedMs,
    long deadlineMs,
    int promptTokens,
    int outputTokens,
    List<Long> prefixDigests,
    Set<String> excluded,
    boolean preemptible) {

  /** Copies the collections. */
  public LeaseRequest {
    prefixDigests = List.copyOf(prefixDigests);
    excluded = Set.copyOf(excluded);
  }
}
