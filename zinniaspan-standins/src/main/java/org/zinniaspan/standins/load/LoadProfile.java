package org.zinniaspan.standins.load;

import java.util.Optional;

/**
 * How much is asked for.
 *
 * @param seed seed of all random numbers
 * @param requestsPerSecond requests a second of all kinds
 * @param durationMs time over which requests arrive, in milliseconds
 * @param organisations number of organisations
 * @param burst a class that asks for more in the middle third of the time
 */
record LoadProfile(
    long seed,
    double requestsPerSecond,
    long durationMs,
    int organisations,
    Optional<Burst> burst) {

  /**
   * More requests of one class.
   *
   * @param serviceClass the class
   * @param factor how many times its usual requests a second
   */
  record Burst(String serviceClass, double factor) {}
}
