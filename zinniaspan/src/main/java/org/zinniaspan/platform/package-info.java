/**
 * Adapters between the platform and the router: names, formats and calls.
 *
 * <p>The package makes no routing decisions, and no other package depends on the platform's names.
 */
package org.zinniaspan.platform;
