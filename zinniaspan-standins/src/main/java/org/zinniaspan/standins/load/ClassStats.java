package org.zinniaspan.standins.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.HdrHistogram.Histogram;
import org.zinniaspan.standins.caller.CallerResult;

/**
 * Counts the outcomes of the requests of one class, and keeps histograms of their latencies.
 *
 * <p>Thread-safe: all state is guarded by this object's lock.
 */
final class ClassStats {

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MS = 1_000.0;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final String NOT_RUN_OUTCOME = "not-run";

  /**
   * The results of one class.
   *
   * @param serviceClass name of the class
   * @param offered requests sent
   * @param attained requests answered completely and within all latency targets
   * @param late requests answered completely that missed a latency target
   * @param refused requests that the router reported as not run
   * @param unknown all other requests: incomplete answers and unknown outcomes
   * @param firstTokenMs time to the first token or byte of complete answers, in milliseconds,
   *     including the time before the last attempt
   * @param gapMs time between two tokens of an answer, in milliseconds
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

    /** Returns the attained share of the offered requests, or 1 if none was offered. */
    @JsonProperty
    double attainment() {
      return offered == 0 ? 1 : (double) attained / offered;
    }
  }

  /** Median, 95th and 99th percentile in milliseconds. */
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

  /** Records the time between two tokens of an answer, in nanoseconds. */
  synchronized void recordTokenGap(long nanos) {
    gapMicros.recordValue(nanos / NANOS_PER_MICRO);
  }

  /**
   * Records the end of a request.
   *
   * @param result result of the last attempt
   * @param inTime whether a complete answer met the latency targets
   * @param beforeAttemptMs milliseconds from the arrival to the start of the last attempt
   * @param engineMs engine time that the answer takes, as {@link RequestKind#engineMs} estimates it
   */
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

  /** Returns the tokens of complete answers. */
  synchronized long answeredTokens() {
    return answeredTokens;
  }

  /** Returns the estimated engine time of the answers that met their targets, in milliseconds. */
  synchronized double attainedEngineMs() {
    return attainedEngineMs;
  }

  /** Returns the results so far under the given class name. */
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
