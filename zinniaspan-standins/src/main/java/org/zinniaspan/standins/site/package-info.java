/**
 * Stand-ins of a platform: its store, its endpoints and its callers, on the loopback interface.
 *
 * <p>They speak the published protocol and share no codec with the router, so that a mistake of one
 * side shows.
 */
package org.zinniaspan.standins.site;
