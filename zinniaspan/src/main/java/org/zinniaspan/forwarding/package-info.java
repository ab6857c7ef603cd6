/**
 * Decisions about forwarded requests: routing, freshness of the configuration, endpoint selection,
 * retries and admission control.
 *
 * <p>The package does no input or output; time comes from the clock that is passed in.
 */
package org.zinniaspan.forwarding;
