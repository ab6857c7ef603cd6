package org.zinniaspan.standins.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Locale;

/**
 * The results of one run; its components and {@code wastedShare} are the fields of the JSON output.
 *
 * @param policy name of the policy, or {@code running} for a fleet that was already running
 * @param demand demand as a factor of the capacity
 * @param seed seed of the arrivals
 * @param offeredPerSecond requests sent per second
 * @param goodputPerSecond requests answered completely and within their targets, per second
 * @param usefulShare share of the available engine time spent on answers within their targets
 * @param generatedTokens tokens that the engines generated
 * @param wastedTokens generated tokens that are not part of a complete answer
 * @param wastedBytes bytes that the engines sent of answers that were then cancelled
 * @param worstStartDelayMs longest delay between a request's due time and its sending, in
 *     milliseconds
 * @param rows results of each class
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

  /** Returns the wasted tokens as a share of the generated ones, or 0 if there are none. */
  @JsonProperty
  double wastedShare() {
    return generatedTokens == 0 ? 0 : (double) wastedTokens / generatedTokens;
  }

  /** Returns the results as plain text: a summary line, then a table with one row per class. */
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
