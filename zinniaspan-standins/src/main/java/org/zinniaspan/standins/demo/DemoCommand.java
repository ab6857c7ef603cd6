package org.zinniaspan.standins.demo;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.zinniaspan.standins.StandinCommand;
import org.zinniaspan.standins.caller.CallerClient;
import org.zinniaspan.standins.caller.CallerClient.ChatRequest;
import org.zinniaspan.standins.caller.CallerClient.ServiceRequest;
import org.zinniaspan.standins.caller.CallerResult;
import org.zinniaspan.standins.fleet.FleetSpec;
import org.zinniaspan.standins.fleet.LocalFleet;

/**
 * Runs stand-ins and entry VMs on this machine, sends requests and prints the results per service
 * class.
 *
 * <p>One engine is killed while the second half of the requests is in flight.
 */
@Parameters(
    commandDescription = "Run stand-ins and two entry VMs, send requests and print the results.")
public final class DemoCommand implements StandinCommand {

  private static final String ZONE = "recife-a";
  private static final int CALLER_THREADS = 32;
  private static final int MAX_RETRIES = 3;

  @Parameter(
      names = "--rounds",
      description = "Requests per class, before and again after an engine is killed.")
  int rounds = 30;

  @Parameter(
      names = "--logs",
      description = "Directory for process logs; default: a new temporary directory.")
  String logs = "";

  /**
   * The last response to a request.
   *
   * @param targetMs time-to-first-token target of the class, in milliseconds
   * @param lastSendDelayMs milliseconds from the first to the last send; zero without a retry
   */
  private record Sample(
      String serviceClass, long targetMs, long lastSendDelayMs, CallerResult result) {

    boolean attainsTarget() {
      return result.isAnswered() && lastSendDelayMs + result.firstTokenMs() <= targetMs;
    }
  }

  @Override
  public int run() throws Exception {
    Path logDirectory =
        logs.isEmpty() ? Files.createTempDirectory("zinniaspan-demo") : Path.of(logs);
    try (LocalFleet fleet = LocalFleet.start(spec(), logDirectory)) {
      List<Sample> samples = new ArrayList<>(sendRounds(fleet, rounds));
      System.out.println("kill -9 engine-3 while requests are in flight");
      Thread killer = new Thread(() -> fleet.endpoints().get("engine-3").process().kill());
      killer.start();
      samples.addAll(sendRounds(fleet, rounds));
      killer.join();
      print(samples);
      return 0;
    }
  }

  private static FleetSpec spec() throws IOException {
    return new FleetSpec()
        .zone(ZONE, 2)
        .models("counter-3b", "dossier-14b")
        .engine("engine-1", ZONE)
        .engine("engine-2", ZONE, "--checks-fencing")
        .engine("engine-3", ZONE)
        .service("app-1", ZONE, "app")
        .document("rules", resource("demo-rules.json"));
  }

  private static String resource(String name) throws IOException {
    try (InputStream in = DemoCommand.class.getResourceAsStream("/" + name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static List<Sample> sendRounds(LocalFleet fleet, int rounds) throws Exception {
    List<InetSocketAddress> entries =
        fleet.entries().values().stream().map(LocalFleet.EntryProcess::callerAddress).toList();
    CallerClient caller = new CallerClient(LocalFleet.ORGANISATION_KEY);
    List<Callable<Sample>> tasks = new ArrayList<>();
    for (int i = 0; i < rounds; i++) {
      InetSocketAddress entry = entries.get(i % entries.size());
      String text = "question " + i + " of the demo";
      tasks.add(() -> chat(caller, entry, "counter-question", 1_000, "counter-3b", text));
      tasks.add(() -> chat(caller, entry, "dossier", 3_000, "dossier-14b", text + " #tokens=80"));
      tasks.add(() -> chat(caller, entry, "record-flagging", 30_000, "counter-3b", text));
      String key = "charge-" + System.nanoTime();
      tasks.add(() -> charge(caller, entry, key));
    }
    ExecutorService threads = Executors.newFixedThreadPool(CALLER_THREADS);
    try {
      List<Sample> samples = new ArrayList<>();
      for (Future<Sample> future : threads.invokeAll(tasks)) {
        samples.add(future.get());
      }
      return samples;
    } finally {
      threads.shutdownNow();
    }
  }

  private static Sample chat(
      CallerClient caller,
      InetSocketAddress entry,
      String serviceClass,
      long targetMs,
      String model,
      String prompt) {
    ChatRequest request = new ChatRequest(model, prompt, Optional.of(serviceClass), true);
    return sendWithRetries(serviceClass, targetMs, () -> caller.chat(entry, request));
  }

  private static Sample charge(CallerClient caller, InetSocketAddress entry, String key) {
    ServiceRequest request =
        new ServiceRequest("POST", "app/charges", "{\"credits\":1}", Optional.of(key));
    return sendWithRetries("credit-charge", 2_000, () -> caller.call(entry, request));
  }

  /** Sends a request and retries it after the delay in Retry-After, at most 3 times. */
  private static Sample sendWithRetries(
      String serviceClass, long targetMs, Supplier<CallerResult> send) {
    long startNanos = System.nanoTime();
    long lastSendDelayMs = 0;
    CallerResult result = send.get();
    for (int i = 0; i < MAX_RETRIES && result.retryAfterSeconds().isPresent(); i++) {
      LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(result.retryAfterSeconds().get()));
      lastSendDelayMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      result = send.get();
    }
    return new Sample(serviceClass, targetMs, lastSendDelayMs, result);
  }

  private static void print(List<Sample> samples) {
    TreeMap<String, List<Sample>> byClass = new TreeMap<>();
    for (Sample sample : samples) {
      byClass.computeIfAbsent(sample.serviceClass(), name -> new ArrayList<>()).add(sample);
    }
    System.out.printf(
        "%-20s %8s %9s %9s %8s %8s%n",
        "class", "requests", "answered", "attained", "not run", "unknown");
    byClass.forEach(DemoCommand::printRow);
  }

  private static void printRow(String serviceClass, List<Sample> samples) {
    long answered = samples.stream().filter(s -> s.result().isAnswered()).count();
    long attained = samples.stream().filter(Sample::attainsTarget).count();
    long notRun = samples.stream().filter(s -> s.result().outcome().equals("not-run")).count();
    System.out.printf(
        "%-20s %8d %8.1f%% %8.1f%% %8d %8d%n",
        serviceClass,
        samples.size(),
        100.0 * answered / samples.size(),
        100.0 * attained / samples.size(),
        notRun,
        samples.size() - answered - notRun);
  }
}
