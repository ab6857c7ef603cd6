/** A randomized soak: real daemons, faults injected from outside, promises checked meanwhile. */
package org.zinniaspan.standins.soak;
