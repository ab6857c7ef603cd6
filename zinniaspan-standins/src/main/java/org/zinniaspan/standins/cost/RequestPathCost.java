package org.zinniaspan.standins.cost;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.zinniaspan.standins.caller.CallerClient;
import org.zinniaspan.standins.caller.CallerClient.ChatRequest;
import org.zinniaspan.standins.caller.CallerResult;
import org.zinniaspan.standins.fleet.FleetSpec;
import org.zinniaspan.standins.fleet.LocalFleet;

/**
 * Measures the processor time of one VM per request and per token, and its added latency.
 *
 * <p>Each request is sent twice at the same time: through the VM and directly to an engine. The
 * time to first token (TTFT) of both is printed.
 */
final class RequestPathCost {

  private static final String ZONE = "zone-a";
  private static final String MODEL = "counter-3b";
  private static final int ENGINE_COUNT = 4;
  private static final int SLOTS_PER_ENGINE = 64;
  private static final int HISTOGRAM_DIGITS = 3;
  private static final int WARM_UP_SECONDS = 20;
  private static final int WARM_UP_TOKENS = 100;
  private static final double NANOS_PER_SECOND = 1_000_000_000.0;

  /** Also converts milliseconds to seconds, in the figures per core. */
  private static final double MICROS_PER_MS = 1_000.0;

  private static final double PERCENT = 100;
  private static final String PROMPT_TEXT = "a question of about this length; ".repeat(20);

  private final CostSettings settings;
  private final Path logs;
  private final PrintStream out;
  private final CallerClient caller = new CallerClient(LocalFleet.ORGANISATION_KEY);

  /** Totals of one measured interval, with the processor time of the VM. */
  private record MeasuredInterval(double seconds, long requests, long tokens, double processorMs) {}

  RequestPathCost(CostSettings settings, Path logs, PrintStream out) {
    this.settings = settings;
    this.logs = logs;
    this.out = out;
  }

  void measure() throws IOException, InterruptedException {
    try (LocalFleet fleet = LocalFleet.start(spec(), logs.resolve("path"))) {
      out.printf(
          "%nOne VM at %.0f requests/s through it and as many directly to the engines:%n",
          settings.requestsPerSecond);
      out.printf(
          "%8s %9s %9s %8s | %27s | %27s | %9s%n",
          "tokens",
          "requests",
          "tokens/s",
          "core %",
          "direct ttft 50/95/99 ms",
          "through ttft 50/95/99 ms",
          "peak MB");
      out.print("warm-up:\n");
      measureRequests(fleet, WARM_UP_SECONDS, WARM_UP_TOKENS);
      List<MeasuredInterval> intervals = new ArrayList<>();
      intervals.add(measureIdle(fleet));
      for (int tokens : settings.tokens) {
        intervals.add(measureRequests(fleet, settings.seconds, tokens));
      }
      printLeastSquaresFit(intervals);
    }
  }

  private FleetSpec spec() throws IOException {
    FleetSpec spec =
        new FleetSpec()
            .zone(ZONE, 1)
            .models(MODEL)
            .engineSlots(SLOTS_PER_ENGINE)
            .document("rules", settings.rules().replace("256", "2048"))
            .entryFlags(settings.entryFlags());
    for (int i = 1; i <= ENGINE_COUNT; i++) {
      spec.engine("engine-" + i, ZONE, "--ms-per-token-per-request", "0.1");
    }
    return spec;
  }

  private static ProcessProbe probe(LocalFleet fleet) {
    return new ProcessProbe(fleet.entries().values().iterator().next().process().pid());
  }

  private MeasuredInterval measureIdle(LocalFleet fleet) throws IOException, InterruptedException {
    double before = probe(fleet).processorMs();
    TimeUnit.SECONDS.sleep(settings.seconds);
    return new MeasuredInterval(settings.seconds, 0, 0, probe(fleet).processorMs() - before);
  }

  private MeasuredInterval measureRequests(LocalFleet fleet, int seconds, int tokens)
      throws IOException, InterruptedException {
    final Histogram direct = new ConcurrentHistogram(HISTOGRAM_DIGITS);
    final Histogram through = new ConcurrentHistogram(HISTOGRAM_DIGITS);
    final AtomicLong received = new AtomicLong();
    List<InetSocketAddress> engines =
        fleet.endpoints().values().stream().map(LocalFleet.EndpointProcess::address).toList();
    InetSocketAddress entry = fleet.entries().values().iterator().next().callerAddress();
    ExecutorService threads = Executors.newCachedThreadPool();
    int requests = (int) (seconds * settings.requestsPerSecond);
    final double beforeMs = probe(fleet).processorMs();
    long startNanos = System.nanoTime();
    for (int i = 0; i < requests; i++) {
      long dueNanos = startNanos + (long) (i / settings.requestsPerSecond * NANOS_PER_SECOND);
      LockSupport.parkNanos(dueNanos - System.nanoTime());
      String prompt = "request " + i + " " + PROMPT_TEXT + "#tokens=" + tokens;
      InetSocketAddress engine = engines.get(i % engines.size());
      threads.execute(() -> received.addAndGet(chat(entry, prompt, through)));
      threads.execute(() -> chat(engine, prompt, direct));
    }
    threads.shutdown();
    threads.awaitTermination(1, TimeUnit.MINUTES);
    double durationSeconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    double processorMs = probe(fleet).processorMs() - beforeMs;
    MeasuredInterval interval =
        new MeasuredInterval(durationSeconds, requests, received.get(), processorMs);
    printRow(tokens, interval, direct, through, probe(fleet).peakResidentMb());
    return interval;
  }

  private long chat(InetSocketAddress address, String prompt, Histogram firstTokenMicros) {
    CallerResult result =
        caller.chat(address, new ChatRequest(MODEL, prompt, Optional.empty(), true));
    if (result.isAnswered()) {
      firstTokenMicros.recordValue((long) (result.firstTokenMs() * MICROS_PER_MS));
    }
    return result.tokens();
  }

  private void printRow(
      int tokens, MeasuredInterval interval, Histogram direct, Histogram through, double peakMb) {
    out.printf(
        Locale.ROOT,
        "%8d %9d %9.0f %8.2f | %27s | %27s | %9.1f%n",
        tokens,
        interval.requests,
        interval.tokens / interval.seconds,
        PERCENT * interval.processorMs / MICROS_PER_MS / interval.seconds,
        percentiles(direct),
        percentiles(through),
        peakMb);
  }

  private static String percentiles(Histogram micros) {
    return String.format(
        Locale.ROOT,
        "%.1f / %.1f / %.1f",
        micros.getValueAtPercentile(50) / MICROS_PER_MS,
        micros.getValueAtPercentile(95) / MICROS_PER_MS,
        micros.getValueAtPercentile(99) / MICROS_PER_MS);
  }

  /**
   * Prints the processor time per request and per token.
   *
   * <p>Both are the coefficients of a least-squares fit, through the origin, of the processor time
   * that exceeds that of the idle interval, which comes first.
   */
  private void printLeastSquaresFit(List<MeasuredInterval> intervals) {
    double idlePerSecond = intervals.get(0).processorMs / intervals.get(0).seconds;
    double requestsSquared = 0;
    double requestsTimesTokens = 0;
    double tokensSquared = 0;
    double requestsTimesMs = 0;
    double tokensTimesMs = 0;
    for (MeasuredInterval interval : intervals) {
      final double ms = interval.processorMs - idlePerSecond * interval.seconds;
      requestsSquared += (double) interval.requests * interval.requests;
      requestsTimesTokens += (double) interval.requests * interval.tokens;
      tokensSquared += (double) interval.tokens * interval.tokens;
      requestsTimesMs += interval.requests * ms;
      tokensTimesMs += interval.tokens * ms;
    }
    double determinant =
        requestsSquared * tokensSquared - requestsTimesTokens * requestsTimesTokens;
    double msPerRequest =
        (requestsTimesMs * tokensSquared - tokensTimesMs * requestsTimesTokens) / determinant;
    double msPerToken =
        (tokensTimesMs * requestsSquared - requestsTimesMs * requestsTimesTokens) / determinant;
    out.printf(
        Locale.ROOT,
        "idle %.2f%% of a core; %.3f ms per request plus %.1f us per token (least squares)%n",
        PERCENT * idlePerSecond / MICROS_PER_MS,
        msPerRequest,
        msPerToken * MICROS_PER_MS);
  }
}
