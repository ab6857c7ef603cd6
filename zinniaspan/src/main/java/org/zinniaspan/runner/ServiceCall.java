package org.zinniaspan.runner;

import java.util.Map;
import java.util.Optional;
import org.zinniaspan.inventory.ServiceClass;

/**
 * One call of a caller to a plain service, classified and authenticated.
 *
 * @param requestId unique id, which the caller sees
 * @param organisation organisation that called
 * @param serviceClass class of the call
 * @param service plain service
 * @param method HTTP method
 * @param path path and query within the service, with a leading slash
 * @param headers headers that are passed on
 * @param body body, empty if there is none
 * @param idempotencyKey the caller's key, by which its retries are known
 * @param arrivedMs time at which it arrived
 */
public record ServiceCall(
    String requestId,
    String organisation,
    ServiceClass serviceClass,
    String service,
    String method,
    String path,
    Map<String, String> headers,
    byte[] body,
    Optional<String> idempotencyKey,
    long arrivedMs) {

  /** Returns the time at which the answer is due. */
  public long dueMs() {
    return arrivedMs + serviceClass.firstTokenTargetMs();
  }
}
