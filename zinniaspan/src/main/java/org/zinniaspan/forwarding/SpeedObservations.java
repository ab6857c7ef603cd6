package org.zinniaspan.forwarding;

/**
 * The evidence of one endpoint's speed: from this VM's requests, from those of the VMs that report
 * to this one, and as another VM summed it.
 *
 * <p>A VM of a large fleet sees an endpoint every ten seconds or less often. So VMs report what
 * they observed to their zone's observer with the queries that they send anyway, and it tells the
 * sums with the load reports. Only observations are reported and never sums, so that nothing is
 * counted twice. Not thread-safe.
 */
public final class SpeedObservations {

  /** Half-life of evidence, in milliseconds. */
  private static final double HALF_LIFE_MS = 15_000;

  /** Number of pauses between events that weigh as much as one observation. */
  private static final double FULL_PAUSES = 6;

  private static final class Sum {
    private SpeedEvidence evidence = SpeedEvidence.NONE;
    private long atMs;

    SpeedEvidence at(long nowMs) {
      return evidence.scaled(Math.pow(0.5, Math.max(0, nowMs - atMs) / HALF_LIFE_MS));
    }

    void set(SpeedEvidence next, long nowMs) {
      evidence = next;
      atMs = nowMs;
    }

    void add(SpeedEvidence added, long nowMs) {
      set(at(nowMs).plus(added), nowMs);
    }
  }

  private final Sum zone = new Sum();
  private final Sum told = new Sum();
  private SpeedEvidence unreported = SpeedEvidence.NONE;

  /**
   * Records the usual pause between two events of a complete stream.
   *
   * @param pauses number of pauses in the stream
   */
  public void onStream(double pauseMs, int pauses, long nowMs) {
    if (pauses > 0) {
      add(SpeedEvidence.of(pauseMs, Math.min(1, pauses / FULL_PAUSES)), nowMs);
    }
  }

  /** Records the time of a plain call. */
  public void onPlainCall(double elapsedMs, long nowMs) {
    add(SpeedEvidence.of(elapsedMs, 1), nowMs);
  }

  private void add(SpeedEvidence evidence, long nowMs) {
    zone.add(evidence, nowMs);
    unreported = unreported.plus(evidence);
  }

  /** Returns what was observed since the last call, to report it to another VM. */
  public SpeedEvidence takeUnreported() {
    SpeedEvidence taken = unreported;
    unreported = SpeedEvidence.NONE;
    return taken;
  }

  /** Adds what a VM of this zone observed. */
  public void onReported(SpeedEvidence evidence, long nowMs) {
    if (evidence.isPlausible()) {
      zone.add(evidence, nowMs);
    }
  }

  /** Replaces the sum that another VM told. */
  public void onTold(SpeedEvidence evidence, long nowMs) {
    if (evidence.isPlausible()) {
      told.set(evidence, nowMs);
    }
  }

  /** Returns the evidence: the sum that rests on more, as the one that was told has this VM's. */
  public SpeedEvidence evidence(long nowMs) {
    SpeedEvidence own = zone.at(nowMs);
    SpeedEvidence others = told.at(nowMs);
    return own.weight() >= others.weight() ? own : others;
  }
}
