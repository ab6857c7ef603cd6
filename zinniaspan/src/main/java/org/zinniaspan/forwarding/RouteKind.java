package org.zinniaspan.forwarding;

/** What may be repeated on a route. */
public enum RouteKind {
  /** Idempotent: may run more than once. */
  SAFE,
  /** Non-idempotent: runs at most once for each client attempt. */
  UNSAFE,
  /** A stream of events; non-idempotent unless its route allows resuming. */
  STREAMING
}
