package org.zinniaspan.runner;

import java.util.Map;
import java.util.Optional;
import org.zinniaspan.inventory.ServiceClass;

/**
 * A call to a plain service, after authentication and classification.
 *
 * @param requestId unique id, returned to the caller
 * @param organisation organisation that made the call
 * @param serviceClass class of the call
 * @param service name of the plain service
 * @param method HTTP method
 * @param path path and query within the service, with a leading slash
 * @param headers headers that are forwarded to the service
 * @param body request body, empty if there is none
 * @param idempotencyKey the caller's idempotency key, which identifies retries of the same call
 * @param arrivedMs arrival time in milliseconds
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

  /** Returns the deadline for the response, in milliseconds. */
  public long dueMs() {
    return arrivedMs + serviceClass.firstTokenTargetMs();
  }
}
