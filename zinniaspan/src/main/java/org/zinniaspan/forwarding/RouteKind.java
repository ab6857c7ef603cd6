package org.zinniaspan.forwarding;

/** Whether the requests of a route may be repeated. */
public enum RouteKind {
  /** Idempotent: may run more than once. */
  SAFE,
  /** Non-idempotent: runs at most once for each client attempt. */
  UNSAFE,
  /** Event stream; non-idempotent unless the route is resumable. */
  STREAMING
}
