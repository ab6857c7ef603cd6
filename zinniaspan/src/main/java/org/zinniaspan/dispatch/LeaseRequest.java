package org.zinniaspan.dispatch;

import java.util.List;
import java.util.Set;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.inventory.ServiceClass;

/**
 * What a gateway asks a slot for.
 *
 * @param attemptId unique id of the attempt
 * @param pool pool of endpoints
 * @param serviceClass class of the request
 * @param organisation organisation that called
 * @param arrivedMs time at which the request arrived, by the gateway's clock
 * @param deadlineMs time at which the first token is due, by the gateway's clock
 * @param promptTokens length of the prompt in tokens
 * @param outputTokens expected length of the answer in tokens, zero if unknown
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
