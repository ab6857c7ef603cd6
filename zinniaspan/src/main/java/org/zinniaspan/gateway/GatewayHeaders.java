package org.zinniaspan.gateway;

/** Headers of the gateway's own, beside the standard ones. */
public final class GatewayHeaders {

  /** Unique id of the request, on each answer. */
  public static final String REQUEST_ID = "X-Request-Id";

  /** Outcome of the request: answered, not-run or unknown. */
  public static final String OUTCOME = org.zinniaspan.request.Outcome.HEADER;

  /** Endpoint that answered. */
  public static final String ENDPOINT = "X-Zinniaspan-Endpoint";

  /** Class of the request; a caller may send it to choose one. */
  public static final String SERVICE_CLASS = "X-Zinniaspan-Class";

  /** The caller's key, by which retries of a call are known. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Seconds after which a request that was not run may be made again. */
  public static final String RETRY_AFTER = "Retry-After";

  private GatewayHeaders() {}
}
