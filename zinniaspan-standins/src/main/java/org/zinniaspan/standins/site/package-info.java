/**
 * Stand-ins for the platform on the loopback interface: store, endpoints and clients.
 *
 * <p>They implement the published protocol and share no codec with the router, so that an error on
 * one side is not hidden by the same error on the other.
 */
package org.zinniaspan.standins.site;
