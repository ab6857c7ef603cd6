package org.zinniaspan.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.zinniaspan.forwarding.EngineReport;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.Prompt;
import org.zinniaspan.forwarding.PromptPart;

/**
 * An endpoint on virtual time with slots and a short queue. While it states a rejection limit, it
 * fails if it has to reject more requests in a second: its requests are lost, and it returns under
 * another id after some seconds.
 */
final class OverloadedEndpoint {

  private static final long DOWN_MS = 4_000;

  /** Time after a failure in which the store still lists the endpoint. */
  private static final long LISTED_MS = 2_400;

  private static final int NORMAL_QUEUE = 6;
  private static final int SHORT_QUEUE = 0;
  private static final int LONG_QUEUE = 25;
  private static final double PREFILL_TOKENS_PER_MS = 68.2;
  private static final double OUTPUT_TOKEN_MS = 3.82;

  /** Share by which a full batch slows each of its streams. */
  private static final double BATCH_SLOWDOWN = 0.5;

  /** A request at an endpoint, and what its sender hears of it. */
  interface Job {
    Optional<Prompt> prompt();

    /** Returns the time that the endpoint needs for it if it has no prompt, in milliseconds. */
    double workMs();

    /** Returns its priority rank. */
    int rank();

    /** Returns the address of the VM that sent it. */
    String sender();

    void onConnectFailed();

    void onRejected(Optional<Integer> rejectionsPerSecond);

    void onFirstEvent(Optional<Integer> rejectionsPerSecond);

    void onEnd();

    void onLost();
  }

  private final FleetSimulation fleet;
  private final String name;
  private final String service;
  private final String zone;
  private final int slots;
  private final List<Job> running = new ArrayList<>();
  private final Deque<Job> queue = new ArrayDeque<>();
  private final Deque<Rejection> rejections = new ArrayDeque<>();
  private final List<Failure> failures = new ArrayList<>();
  private final Set<String> cachedParts = new HashSet<>();
  private Optional<Integer> rejectionsPerSecond = Optional.empty();
  private boolean queueIsShort;
  private double slowness = 1;
  private boolean queueIsByRank;
  private boolean down;
  private double prefillFreeMs;
  private int incarnation;
  private ListedEndpoint entry;
  private long listedMs;

  private record Rejection(long atMs, String sender) {}

  /**
   * A failure.
   *
   * @param upMs time for which the incarnation had been listed
   * @param senders number of VMs whose requests it had rejected in the last second
   */
  record Failure(long upMs, int senders) {}

  OverloadedEndpoint(FleetSimulation fleet, String service, int number, String zone, int slots) {
    this.fleet = fleet;
    this.name = service + '-' + number;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    list();
  }

  private void list() {
    incarnation++;
    entry =
        new ListedEndpoint(
            name + '.' + incarnation,
            service,
            "10.0.0.1:80",
            zone,
            "v1",
            slots,
            false,
            incarnation);
    listedMs = fleet.nowMs;
    fleet.store.put(entry);
  }

  String service() {
    return service;
  }

  String id() {
    return entry.id();
  }

  List<Failure> failures() {
    return failures;
  }

  int used() {
    return running.size();
  }

  /** States a rejection limit from now on, or none. */
  void state(Optional<Integer> perSecond) {
    rejectionsPerSecond = perSecond;
    queueIsShort = false;
  }

  /** Lets each request take a multiple of the usual time from now on. */
  void slowDown(double factor) {
    slowness = factor;
  }

  /** Lets more requests wait from now on, of which the most urgent is served first. */
  void queueByRank() {
    queueIsByRank = true;
  }

  /** Loses the endpoint for some seconds. */
  void crash() {
    fail();
  }

  void shortenQueue() {
    queueIsShort = true;
  }

  /** Returns the load report; null while the endpoint is down. */
  EngineReport report() {
    return down ? null : new EngineReport(queue.size(), running.size(), entry.startedAtMs());
  }

  void offer(Job job) {
    if (down) {
      job.onConnectFailed();
    } else if (running.size() < slots) {
      start(job);
    } else if (queue.size() < queueLimit()) {
      queue.addLast(job);
    } else {
      reject(job);
    }
  }

  private int queueLimit() {
    return queueIsByRank ? LONG_QUEUE : queueIsShort ? SHORT_QUEUE : NORMAL_QUEUE;
  }

  private Job nextQueued() {
    Job next =
        queueIsByRank
            ? queue.stream().min(Comparator.comparingInt(Job::rank)).orElseThrow()
            : queue.peekFirst();
    queue.remove(next);
    return next;
  }

  private void reject(Job job) {
    job.onRejected(rejectionsPerSecond);
    rejections.addLast(new Rejection(fleet.nowMs, job.sender()));
    while (rejections.peekFirst().atMs() <= fleet.nowMs - 1_000) {
      rejections.removeFirst();
    }
    if (rejectionsPerSecond.map(limit -> rejections.size() > limit).orElse(false)) {
      fail();
    }
  }

  private void fail() {
    long senders = rejections.stream().map(Rejection::sender).distinct().count();
    failures.add(new Failure(fleet.nowMs - listedMs, (int) senders));
    down = true;
    running.forEach(Job::onLost);
    queue.forEach(Job::onLost);
    running.clear();
    queue.clear();
    rejections.clear();
    cachedParts.clear();
    String failed = entry.id();
    fleet.at(LISTED_MS, () -> fleet.store.remove(failed));
    fleet.at(
        DOWN_MS,
        () -> {
          down = false;
          prefillFreeMs = 0;
          list();
        });
  }

  private void start(Job job) {
    running.add(job);
    double firstMs = job.prompt().map(this::prefillMs).orElse(0.0);
    double workMs = job.prompt().map(this::outputMs).orElseGet(job::workMs);
    fleet.at(Math.round(firstMs), () -> ifRunning(job, () -> firstEvent(job)));
    fleet.at(Math.round(firstMs + workMs), () -> ifRunning(job, () -> end(job)));
  }

  private double prefillMs(Prompt prompt) {
    long tokens = prompt.tokens();
    for (PromptPart part : prompt.parts()) {
      if (cachedParts.contains(part.id())) {
        tokens -= part.tokens();
      }
    }
    cachedParts.addAll(prompt.partIds());
    prefillFreeMs =
        Math.max(prefillFreeMs, fleet.nowMs) + slowness * tokens / PREFILL_TOKENS_PER_MS;
    return prefillFreeMs - fleet.nowMs;
  }

  private double outputMs(Prompt prompt) {
    double slowdown = 1 + BATCH_SLOWDOWN * running.size() / slots;
    return prompt.maxOutputTokens() * OUTPUT_TOKEN_MS * slowdown * slowness;
  }

  private void ifRunning(Job job, Runnable action) {
    if (running.contains(job)) {
      action.run();
    }
  }

  private void firstEvent(Job job) {
    job.onFirstEvent(rejectionsPerSecond);
  }

  private void end(Job job) {
    running.remove(job);
    job.onEnd();
    while (!queue.isEmpty() && running.size() < slots) {
      start(nextQueued());
    }
  }
}
