package org.zinniaspan.stream;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.zinniaspan.inventory.ServiceClass;

/**
 * One chat request of a caller, after authentication and classification.
 *
 * @param requestId unique id, also sent to the caller
 * @param organisation organisation that sent the request
 * @param serviceClass service class of the request
 * @param model name of the requested model
 * @param body the caller's JSON body
 * @param promptTokens length of the prompt in tokens
 * @param maxTokens maximum length of the answer in tokens
 * @param prefixDigests digests of the prompt's prefixes, shortest first
 * @param arrivedMs time of arrival in milliseconds
 */
public record ChatCall(
    String requestId,
    String organisation,
    ServiceClass serviceClass,
    String model,
    ObjectNode body,
    int promptTokens,
    int maxTokens,
    List<Long> prefixDigests,
    long arrivedMs) {

  /** Returns the time at which the first token is due, in milliseconds. */
  public long firstTokenDueMs() {
    return arrivedMs + serviceClass.firstTokenTargetMs();
  }
}
