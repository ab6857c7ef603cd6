package org.zinniaspan.stream;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.zinniaspan.inventory.ServiceClass;

/**
 * One chat request of a caller, classified and authenticated.
 *
 * @param requestId unique id, which the caller sees
 * @param organisation organisation that called
 * @param serviceClass class of the request
 * @param model model it asks for
 * @param body the caller's JSON body
 * @param promptTokens length of the prompt in tokens
 * @param maxTokens longest answer in tokens
 * @param prefixDigests digests of the prompt's prefixes, shortest first
 * @param arrivedMs time at which it arrived
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

  /** Returns the time at which the first token is due. */
  public long firstTokenDueMs() {
    return arrivedMs + serviceClass.firstTokenTargetMs();
  }
}
