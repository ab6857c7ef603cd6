package org.zinniaspan.standins.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Locale;

/**
 * The figures of one run.
 *
 * @param policy name of the policy
 * @param demand demand as a factor of the capacity
 * @param seed seed of the requests
 * @param offeredPerSecond requests sent a second
 * @param goodputPerSecond requests answered whole and in time a second
 * @param usefulShare share of the engines' time that went into answers in time
 * @param generatedTokens tokens that engines generated
 * @param wastedTokens tokens generated but not part of a whole answer that a caller got
 * @param wastedBytes bytes that engines sent of answers that were broken off
 * @param worstStartDelayMs longest time by which a request was sent too late, in milliseconds
 * @param rows figures of each class
 */
record LoadResult(
    String policy,
    double demand,
    long seed,
    double offeredPerSecond,
    double goodputPerSecond,
    double usefulShare,
    long generatedTokens,
    long wastedTokens,
    long wastedBytes,
    double worstStartDelayMs,
    List<ClassStats.Row> rows) {

  /** Returns the wasted tokens as a share of those generated. */
  @JsonProperty
  double wastedShare() {
    return generatedTokens == 0 ? 0 : (double) wastedTokens / generatedTokens;
  }

  /** Returns a table for people. */
  String toTable() {
    StringBuilder text = new StringBuilder();
    appendLine(
        text,
        "%s: demand %.2f x capacity, seed %d: offered %.1f/s, goodput %.1f/s, engine time in"
            + " useful answers %.1f%%, wasted %d of %d tokens (%.2f%%), %d bytes; requests were"
            + " sent at most %.0f ms late",
        policy,
        demand,
        seed,
        offeredPerSecond,
        goodputPerSecond,
        100 * usefulShare,
        wastedTokens,
        generatedTokens,
        100 * wastedShare(),
        wastedBytes,
        worstStartDelayMs);
    appendLine(
        text,
        "%-26s %7s %9s %6s %7s %7s | %7s %7s %7s | %6s %6s %6s",
        "class",
        "offered",
        "attained",
        "late",
        "refused",
        "unknown",
        "ttft50",
        "ttft95",
        "ttft99",
        "gap50",
        "gap95",
        "gap99");
    rows.forEach(row -> appendRow(text, row));
    return text.toString();
  }

  private static void appendRow(StringBuilder text, ClassStats.Row row) {
    appendLine(
        text,
        "%-26s %7d %8.2f%% %6d %7d %7d | %7.0f %7.0f %7.0f | %6.1f %6.1f %6.1f",
        row.serviceClass(),
        row.offered(),
        100 * row.attainment(),
        row.late(),
        row.refused(),
        row.unknown(),
        row.firstTokenMs().p50(),
        row.firstTokenMs().p95(),
        row.firstTokenMs().p99(),
        row.gapMs().p50(),
        row.gapMs().p95(),
        row.gapMs().p99());
  }

  private static void appendLine(StringBuilder text, String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values)).append('\n');
  }
}
