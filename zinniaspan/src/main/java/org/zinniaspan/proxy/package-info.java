/** Forwards requests over connections: carries out what {@code forwarding} decides. */
package org.zinniaspan.proxy;
