/**
 * Decisions about forwarded requests: route, trust in the configuration, endpoint, retry, refusal.
 *
 * <p>Nothing here does input or output; time comes from the clock that is passed in.
 */
package org.zinniaspan.forwarding;
