/**
 * What the VMs of the forward path tell each other: who is there, the configuration and endpoints
 * that the platform publishes, and the load of engines.
 *
 * <p>A few VMs of each availability zone read the platform and the engines for the others. The
 * package does no input or output; messages go through {@link org.zinniaspan.fleet.PeerClient}.
 */
package org.zinniaspan.fleet;
