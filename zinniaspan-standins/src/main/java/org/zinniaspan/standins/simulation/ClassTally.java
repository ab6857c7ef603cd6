package org.zinniaspan.standins.simulation;

/** What became of the requests of one class. */
final class ClassTally {

  private int arrived;
  private int refused;
  private int inTime;
  private int answered;

  void arrived() {
    arrived++;
  }

  void refused() {
    refused++;
  }

  void answered(boolean attained) {
    answered++;
    if (attained) {
      inTime++;
    }
  }

  int inTime() {
    return inTime;
  }

  /** Returns the share of arrivals that were answered whole and in time. */
  double attainment() {
    return arrived == 0 ? 1 : inTime / (double) arrived;
  }

  /** Returns the share of arrivals that were refused. */
  double refusedShare() {
    return arrived == 0 ? 0 : refused / (double) arrived;
  }

  /** Returns the share of arrivals that were answered too late. */
  double lateShare() {
    return arrived == 0 ? 0 : (answered - inTime) / (double) arrived;
  }
}
