package org.zinniaspan.standins.load;

/**
 * A request of the load generator with the time at which it is due.
 *
 * @param atMs time to send it, in milliseconds after the start of the run
 * @param kind kind of request, which gives its class and shape
 * @param organisation index of the calling organisation, from 0
 * @param number number that is unique within the run; part of the prompt and of the idempotency key
 * @param tokens length of the answer in tokens; 0 for a call to a plain service
 */
record Arrival(double atMs, RequestKind kind, int organisation, int number, int tokens) {}
