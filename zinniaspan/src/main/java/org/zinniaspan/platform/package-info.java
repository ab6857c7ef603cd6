/**
 * Translates between the users' platform and the router: names, formats and calls.
 *
 * <p>Nothing here decides; no other package knows the platform's names.
 */
package org.zinniaspan.platform;
