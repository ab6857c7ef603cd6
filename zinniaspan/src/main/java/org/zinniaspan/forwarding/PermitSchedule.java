package org.zinniaspan.forwarding;

/**
 * Times at which the VMs of a fleet may send to an endpoint with a request limit.
 *
 * <p>Time is divided into slots, as many a second as the endpoint takes requests. Each slot belongs
 * to one VM: slots go round the availability zones, and within a zone round its VMs. So the VMs
 * keep to the limit together without a message for each request, however many they are. The time of
 * day aligns the slots of different VMs; a VM whose clock differs still owns only its share of
 * them.
 *
 * <p>A VM may use its slot for some time after the slot began, once.
 */
final class PermitSchedule {

  private static final double MS_PER_SECOND = 1_000;

  private final double slotMs;
  private final double validityMs;
  private final long offset;
  private final PermitShare share;

  /**
   * Creates the schedule of one VM for one endpoint.
   *
   * @param requestsPerSecond the endpoint's limit, above 0
   * @param validityMs time after the begin of a slot in which its owner may use it, in milliseconds
   * @param offset shifts the slots, so that not all endpoints' slots belong to the same VM at a
   *     time
   */
  PermitSchedule(double requestsPerSecond, long validityMs, long offset, PermitShare share) {
    this.slotMs = MS_PER_SECOND / requestsPerSecond;
    this.validityMs = Math.max(validityMs, slotMs);
    this.offset = Math.floorMod(offset, share.period());
    this.share = share;
  }

  /** Returns the time from one slot to the next, whichever VM owns it, in milliseconds. */
  double slotMs() {
    return slotMs;
  }

  /**
   * Returns the begin of the first slot of this VM that is usable now or later, in milliseconds.
   *
   * @param timeOfDayMs present time of day
   * @param usedMs begin of the last slot that was used; slots up to it are not usable
   */
  long nextMs(long timeOfDayMs, long usedMs) {
    double firstMs = Math.max(timeOfDayMs - validityMs, usedMs + slotMs / 2);
    long slot = (long) Math.ceil(firstMs / slotMs);
    long ahead = Math.floorMod(share.remainder() - (slot + offset), share.period());
    return (long) Math.ceil((slot + ahead) * slotMs);
  }
}
