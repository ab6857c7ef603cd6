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

/** Processor time of one VM per request and per token, and the latency that it adds. */
final class PathCost {

  private static final String ZONE = "zone-a";
  private static final String MODEL = "counter-3b";
  private static final int ENGINES = 4;
  private static final int SLOTS = 64;
  private static final int HISTOGRAM_DIGITS = 3;
  private static final int WARM_UP_SECONDS = 20;
  private static final int WARM_UP_TOKENS = 100;
  private static final double NANOS_PER_SECOND = 1_000_000_000.0;
  private static final double MICROS_PER_MS = 1_000.0;
  private static final double PERCENT = 100;
  private static final String QUESTION = "a question of about this length; ".repeat(20);

  private final CostSettings settings;
  private final Path logs;
  private final PrintStream out;
  private final CallerClient caller = new CallerClient(LocalFleet.KEY);

  /** One measured stretch. */
  private record Stretch(double seconds, long requests, long tokens, double processorMs) {}

  PathCost(CostSettings settings, Path logs, PrintStream out) {
    this.settings = settings;
    this.logs = logs;
    this.out = out;
  }

  void measure() throws IOException, InterruptedException {
    try (LocalFleet fleet = LocalFleet.start(spec(), logs.resolve("path"))) {
      out.printf(
          "%nOne VM at %.0f requests/s through it and as many direct to the engines:%n",
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
      send(fleet, WARM_UP_SECONDS, WARM_UP_TOKENS);
      List<Stretch> stretches = new ArrayList<>();
      stretches.add(idle(fleet));
      for (int tokens : settings.tokens) {
        stretches.add(send(fleet, settings.seconds, tokens));
      }
      slopes(stretches);
    }
  }

  private FleetSpec spec() throws IOException {
    FleetSpec spec =
        new FleetSpec()
            .zone(ZONE, 1)
            .models(MODEL)
            .engineSlots(SLOTS)
            .document("rules", settings.rules().replace("256", "2048"))
            .entryFlags(settings.entryFlags());
    for (int i = 1; i <= ENGINES; i++) {
      spec.engine("engine-" + i, ZONE, "--ms-per-token-per-request", "0.1");
    }
    return spec;
  }

  private static ProcessProbe probe(LocalFleet fleet) {
    return new ProcessProbe(fleet.entries().values().iterator().next().process().pid());
  }

  private Stretch idle(LocalFleet fleet) throws IOException, InterruptedException {
    double before = probe(fleet).processorMs();
    TimeUnit.SECONDS.sleep(settings.seconds);
    return new Stretch(settings.seconds, 0, 0, probe(fleet).processorMs() - before);
  }

  private Stretch send(LocalFleet fleet, int seconds, int tokens)
      throws IOException, InterruptedException {
    final Histogram direct = new ConcurrentHistogram(HISTOGRAM_DIGITS);
    final Histogram through = new ConcurrentHistogram(HISTOGRAM_DIGITS);
    final AtomicLong received = new AtomicLong();
    List<InetSocketAddress> engines =
        fleet.endpoints().values().stream().map(LocalFleet.EndpointProcess::address).toList();
    InetSocketAddress entry = fleet.entries().values().iterator().next().callers();
    ExecutorService threads = Executors.newCachedThreadPool();
    int requests = (int) (seconds * settings.requestsPerSecond);
    final double beforeMs = probe(fleet).processorMs();
    long startNanos = System.nanoTime();
    for (int i = 0; i < requests; i++) {
      long due = startNanos + (long) (i / settings.requestsPerSecond * NANOS_PER_SECOND);
      LockSupport.parkNanos(due - System.nanoTime());
      String prompt = "request " + i + " " + QUESTION + "#tokens=" + tokens;
      InetSocketAddress engine = engines.get(i % engines.size());
      threads.execute(() -> received.addAndGet(chat(entry, prompt, through)));
      threads.execute(() -> chat(engine, prompt, direct));
    }
    threads.shutdown();
    threads.awaitTermination(1, TimeUnit.MINUTES);
    double lasted = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    double usedMs = probe(fleet).processorMs() - beforeMs;
    Stretch stretch = new Stretch(lasted, requests, received.get(), usedMs);
    row(tokens, stretch, direct, through, probe(fleet).peakResidentMb());
    return stretch;
  }

  private long chat(InetSocketAddress address, String prompt, Histogram firstTokenMicros) {
    CallerResult result =
        caller.chat(address, new ChatRequest(MODEL, prompt, Optional.empty(), true));
    if (result.isAnswered()) {
      firstTokenMicros.recordValue((long) (result.firstTokenMs() * MICROS_PER_MS));
    }
    return result.tokens();
  }

  private void row(int tokens, Stretch stretch, Histogram direct, Histogram through, double peak) {
    out.printf(
        Locale.ROOT,
        "%8d %9d %9.0f %8.2f | %27s | %27s | %9.1f%n",
        tokens,
        stretch.requests,
        stretch.tokens / stretch.seconds,
        PERCENT * stretch.processorMs / MICROS_PER_MS / stretch.seconds,
        percentiles(direct),
        percentiles(through),
        peak);
  }

  private static String percentiles(Histogram micros) {
    return String.format(
        Locale.ROOT,
        "%.1f / %.1f / %.1f",
        micros.getValueAtPercentile(50) / MICROS_PER_MS,
        micros.getValueAtPercentile(95) / MICROS_PER_MS,
        micros.getValueAtPercentile(99) / MICROS_PER_MS);
  }

  private void slopes(List<Stretch> stretches) {
    double idlePerSecond = stretches.get(0).processorMs / stretches.get(0).seconds;
    double rr = 0;
    double rt = 0;
    double tt = 0;
    double ry = 0;
    double ty = 0;
    for (Stretch stretch : stretches) {
      final double ms = stretch.processorMs - idlePerSecond * stretch.seconds;
      rr += (double) stretch.requests * stretch.requests;
      rt += (double) stretch.requests * stretch.tokens;
      tt += (double) stretch.tokens * stretch.tokens;
      ry += stretch.requests * ms;
      ty += stretch.tokens * ms;
    }
    double determinant = rr * tt - rt * rt;
    double msPerRequest = (ry * tt - ty * rt) / determinant;
    double msPerToken = (ty * rr - ry * rt) / determinant;
    out.printf(
        Locale.ROOT,
        "idle %.2f%% of a core; %.3f ms a request and %.1f us a token more (least squares)%n",
        PERCENT * idlePerSecond / MICROS_PER_MS,
        msPerRequest,
        msPerToken * MICROS_PER_MS);
  }
}
