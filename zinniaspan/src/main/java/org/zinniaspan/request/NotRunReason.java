package org.zinniaspan.request;

/** Reason why a request was not run. */
public enum NotRunReason {
  /** The body, a header or the path is malformed. */
  BAD_REQUEST(400, "bad_request"),
  /** No organisation has the given key. */
  UNKNOWN_ORGANISATION(401, "unknown_organisation"),
  /** The inventory has no such model, service or class. */
  NOT_FOUND(404, "not_found"),
  /** The body is larger than the limit. */
  TOO_LARGE(413, "too_large"),
  /** The latency target cannot be met, or the queue is full. */
  OVERLOADED(429, "overloaded"),
  /** The organisation uses more than its share while others wait. */
  OVER_SHARE(429, "over_share"),
  /** No endpoint of the pool can be reached. */
  NO_ENDPOINT(503, "no_endpoint"),
  /** The VM is shutting down or has no configuration yet. */
  NOT_READY(503, "not_ready"),
  /** The caller closed its connection before the request was sent to an endpoint. */
  CALLER_LEFT(499, "caller_left");

  private final int status;
  private final String code;

  NotRunReason(int status, String code) {
    this.status = status;
    this.code = code;
  }

  /** Returns the HTTP status of the response. */
  public int status() {
    return status;
  }

  /** Returns the stable code in the body of the error response. */
  public String code() {
    return code;
  }
}
