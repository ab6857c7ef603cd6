package org.zinniaspan.standins.load;

/**
 * One request to send.
 *
 * @param atMs when, in milliseconds after the start
 * @param kind kind of the request
 * @param organisation number of the organisation, from 0
 * @param number number of the request, unique in the run
 * @param tokens length of the answer in tokens
 */
record Arrival(double atMs, RequestKind kind, int organisation, int number, int tokens) {}
