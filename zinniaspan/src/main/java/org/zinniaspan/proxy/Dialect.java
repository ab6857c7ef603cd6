package org.zinniaspan.proxy;

import java.util.Optional;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.zinniaspan.forwarding.RequestFacts;

/** Translates the heads of HTTP messages. */
public interface Dialect {

  /** Returns what a client's request says of itself. */
  RequestFacts requestFacts(HttpRequest head);

  /** Returns the head with which a client's request is sent to an endpoint. */
  HttpRequest endpointRequest(HttpRequest clientHead, EndpointCall call);

  /** Returns what an endpoint's answer says of itself. */
  ResponseFacts responseFacts(HttpResponse head);

  /** Returns the head with which an endpoint's answer is passed on, without its framing. */
  HttpResponse clientResponse(HttpResponse endpointHead);

  /**
   * Returns the head of an answer of the router's own.
   *
   * @param attemptId id of the client attempt, if it is known
   * @param retryAfterMs when the client may come back, in milliseconds
   */
  HttpResponse localResponse(int status, Optional<String> attemptId, Optional<Long> retryAfterMs);

  /**
   * How a request is sent to an endpoint.
   *
   * @param endpointId incarnation that may run it
   * @param organisation organisation that sent it, if it needed a key
   * @param dropCredentials whether the client's credentials are kept from the endpoint
   * @param deadlineMs time that is left, in milliseconds
   * @param priority rank at the endpoint, if one is set
   * @param lastEventId id of the last event that the client has, if a stream goes on
   * @param bodyBytes length of the body
   */
  record EndpointCall(
      String endpointId,
      Optional<String> organisation,
      boolean dropCredentials,
      Optional<Long> deadlineMs,
      Optional<Integer> priority,
      Optional<String> lastEventId,
      int bodyBytes) {}

  /**
   * What an endpoint's answer says of itself.
   *
   * @param attemptId id of the client attempt that it answers, if stated
   * @param signed whether the endpoint signed it
   * @param notRun whether the endpoint states that it did not run the request
   * @param encoded whether the body has an encoding that no client asked for
   */
  record ResponseFacts(
      Optional<String> attemptId, boolean signed, boolean notRun, boolean encoded) {}
}
