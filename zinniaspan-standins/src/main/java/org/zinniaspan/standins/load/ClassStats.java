package org.zinniaspan.standins.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.HdrHistogram.Histogram;
import org.zinniaspan.standins.caller.CallerResult;

/** Counts what became of the requests of one class; guarded by its own lock. */
final class ClassStats {

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MS = 1_000.0;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final String NOT_RUN_OUTCOME = "not-run";

  /**
   * The figures of one class.
   *
   * @param serviceClass the class, or {@code all}
   * @param offered requests sent
   * @param attained requests answered whole and in time
   * @param late requests answered whole but late
   * @param refused requests that the router says were not run
   * @param unknown all others
   * @param firstTokenMs first token or byte of whole answers, in milliseconds
   * @param gapMs time between tokens, in milliseconds
   */
  record Row(
      String serviceClass,
      long offered,
      long attained,
      long late,
      long refused,
      long unknown,
      Quantiles firstTokenMs,
      Quantiles gapMs) {

    /** Returns the share of offered requests answered whole and in time. */
    @JsonProperty
    double attainment() {
      return offered == 0 ? 1 : (double) attained / offered;
    }
  }

  /** Percentiles in milliseconds. */
  record Quantiles(double p50, double p95, double p99) {}

  private final Histogram firstTokenMicros = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram gapMicros = new Histogram(SIGNIFICANT_DIGITS);
  private long offered;
  private long attained;
  private long late;
  private long refused;
  private long unknown;
  private long answeredTokens;
  private double attainedEngineMs;

  synchronized void recordTokenGap(long nanos) {
    gapMicros.recordValue(nanos / NANOS_PER_MICRO);
  }

  synchronized void recordEnd(
      CallerResult result, boolean inTime, double beforeAttemptMs, double engineMs) {
    offered++;
    if (result.isAnswered()) {
      answeredTokens += result.tokens();
      firstTokenMicros.recordValue(
          (long) ((beforeAttemptMs + result.firstTokenMs()) * MICROS_PER_MS));
    }
    if (inTime) {
      attained++;
      attainedEngineMs += engineMs;
    } else if (result.isAnswered()) {
      late++;
    } else if (result.outcome().equals(NOT_RUN_OUTCOME)) {
      refused++;
    } else {
      unknown++;
    }
  }

  synchronized long answeredTokens() {
    return answeredTokens;
  }

  synchronized double attainedEngineMs() {
    return attainedEngineMs;
  }

  synchronized Row toRow(String serviceClass) {
    return new Row(
        serviceClass,
        offered,
        attained,
        late,
        refused,
        unknown,
        quantiles(firstTokenMicros),
        quantiles(gapMicros));
  }

  private static Quantiles quantiles(Histogram micros) {
    return new Quantiles(
        micros.getValueAtPercentile(50) / MICROS_PER_MS,
        micros.getValueAtPercentile(95) / MICROS_PER_MS,
        micros.getValueAtPercentile(99) / MICROS_PER_MS);
  }
}
