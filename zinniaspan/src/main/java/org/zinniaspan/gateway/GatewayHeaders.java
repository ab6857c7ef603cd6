package org.zinniaspan.gateway;

/** HTTP headers that the gateway reads or sets. */
public final class GatewayHeaders {

  /** Unique id of the request, set on each response. */
  public static final String REQUEST_ID = "X-Request-Id";

  /** Outcome of the request: {@code answered}, {@code not-run} or {@code unknown}. */
  public static final String OUTCOME = org.zinniaspan.request.Outcome.HEADER;

  /** Name of the endpoint that answered. */
  public static final String ENDPOINT = "X-Zinniaspan-Endpoint";

  /** Service class of the request; a caller may send it to select one. */
  public static final String SERVICE_CLASS = "X-Zinniaspan-Class";

  /** Idempotency key of the caller, which identifies retries of the same call. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Delay in seconds before the caller may retry a request that was not run. */
  public static final String RETRY_AFTER = "Retry-After";

  private GatewayHeaders() {}
}
