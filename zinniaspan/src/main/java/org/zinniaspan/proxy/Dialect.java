package org.zinniaspan.proxy;

import java.util.Optional;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.zinniaspan.forwarding.RequestFacts;
import org.zinniaspan.forwarding.StreamResume;

/** Translates the heads of HTTP messages between clients, the router and endpoints. */
public interface Dialect {

  /** Extracts from the head of a client's request what routing and admission need. */
  RequestFacts requestFacts(HttpRequest head);

  /** Creates the head of the request that is sent to an endpoint. */
  HttpRequest endpointRequest(HttpRequest clientHead, EndpointCall call);

  /** Creates the head of the request that is sent to another VM, which sends it to an endpoint. */
  HttpRequest relayRequest(HttpRequest clientHead, RelayCall call);

  /** Extracts from the head of an endpoint's response what its classification needs. */
  ResponseFacts responseFacts(HttpResponse head);

  /** Creates the head of the response to the client, without the headers of its framing. */
  HttpResponse clientResponse(HttpResponse endpointHead);

  /**
   * Creates the head of a response that the router generates itself.
   *
   * @param status HTTP status code
   * @param attemptId id of the client attempt, if it is known
   * @param retryAfterMs time after which the client may retry, in milliseconds
   */
  HttpResponse localResponse(int status, Optional<String> attemptId, Optional<Long> retryAfterMs);

  /**
   * The parameters of a request to an endpoint.
   *
   * @param endpointId id of the endpoint's incarnation; no other one may run the request
   * @param organisation organisation that sent the request, if the route needs an API key
   * @param dropCredentials whether the client's credentials are removed
   * @param deadlineMs time left until the deadline, in milliseconds
   * @param priority rank of the request at the endpoint, if it has one
   * @param lastEventId id of the last event sent to the client, if a stream resumes
   * @param bodyBytes length of the body in bytes
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
   * The parameters of a request to another VM.
   *
   * @param deadlineMs time left until the client's deadline, in milliseconds, if it stated one
   * @param resume the stream that the request resumes, if it does
   * @param bodyBytes length of the body in bytes
   */
  record RelayCall(Optional<Long> deadlineMs, Optional<StreamResume> resume, int bodyBytes) {}

  /**
   * What the head of an endpoint's response states.
   *
   * @param attemptId id of the client attempt that the response belongs to, if stated
   * @param signed whether the response has the endpoint's server stamp
   * @param notRun whether the endpoint states that it did not run the request
   * @param encoded whether the body has a content encoding, which no client asks for
   * @param retryAfterMs time for which the endpoint takes no request of this VM, in milliseconds,
   *     if stated
   * @param draining whether the endpoint states that it is about to shut down
   * @param rejectionsPerSecond number of rejections in a second beyond which the endpoint fails, if
   *     it states such a limit
   * @param requestsPerSecond requests a second that the endpoint takes from all VMs together, if it
   *     states such a limit
   * @param coldMs time for which the endpoint remains cold, in milliseconds, if stated
   */
  record ResponseFacts(
      Optional<String> attemptId,
      boolean signed,
      boolean notRun,
      boolean encoded,
      Optional<Long> retryAfterMs,
      boolean draining,
      Optional<Integer> rejectionsPerSecond,
      Optional<Double> requestsPerSecond,
      Optional<Long> coldMs) {}
}
