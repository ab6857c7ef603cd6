/**
 * The HTTP proxy: forwards clients' requests to endpoints over the connections of {@code
 * transport}, as {@code forwarding} decides.
 */
package org.zinniaspan.proxy;
