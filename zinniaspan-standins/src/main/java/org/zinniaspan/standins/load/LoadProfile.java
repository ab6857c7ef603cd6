package org.zinniaspan.standins.load;

import java.util.Optional;

/**
 * The demand of a run: rate and duration of the arrivals, and number of organisations.
 *
 * @param seed seed of all random numbers
 * @param requestsPerSecond mean requests per second, all kinds together
 * @param durationMs time over which requests arrive, in milliseconds
 * @param organisations number of calling organisations
 * @param burst class whose request rate rises in the middle third of the run
 */
record LoadProfile(
    long seed,
    double requestsPerSecond,
    long durationMs,
    int organisations,
    Optional<Burst> burst) {

  /**
   * A temporary increase of the requests of one class.
   *
   * @param serviceClass name of the class
   * @param factor multiple of the usual request rate
   */
  record Burst(String serviceClass, double factor) {}
}
