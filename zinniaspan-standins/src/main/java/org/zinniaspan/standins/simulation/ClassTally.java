package org.zinniaspan.standins.simulation;

/** Counts the outcomes of the requests of one class. */
final class ClassTally {

  private int arrived;
  private int refused;
  private int inTime;
  private int answered;

  /** Counts an arrival. */
  void arrived() {
    arrived++;
  }

  /** Counts a refusal. */
  void refused() {
    refused++;
  }

  /** Counts a complete answer, which met its first-token target or was late. */
  void answered(boolean attained) {
    answered++;
    if (attained) {
      inTime++;
    }
  }

  /** Returns the number of answers that met their first-token target. */
  int inTime() {
    return inTime;
  }

  /** Returns the share of arrivals answered completely and in time, or 1 without arrivals. */
  double attainment() {
    return arrived == 0 ? 1 : inTime / (double) arrived;
  }

  /** Returns the share of arrivals refused, or 0 without arrivals. */
  double refusedShare() {
    return arrived == 0 ? 0 : refused / (double) arrived;
  }

  /** Returns the share of arrivals answered late, or 0 without arrivals. */
  double lateShare() {
    return arrived == 0 ? 0 : (answered - inTime) / (double) arrived;
  }
}
