/**
 * Randomized soak tests, which inject faults from outside into running daemons and check the
 * guarantees of the router.
 */
package org.zinniaspan.standins.soak;
