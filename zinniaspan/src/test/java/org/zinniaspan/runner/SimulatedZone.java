package org.zinniaspan.runner;

import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.zinniaspan.configuration.ConfigurationStore;
import org.zinniaspan.configuration.Document;
import org.zinniaspan.configuration.DocumentName;
import org.zinniaspan.dispatch.LeaseRequest;
import org.zinniaspan.dispatch.LeaseResponse;
import org.zinniaspan.dispatch.SlotService;
import org.zinniaspan.dispatch.SlotUse;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.ServiceClass;
import org.zinniaspan.membership.Member;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.request.Outcome;
import org.zinniaspan.testkit.VirtualClock;
import org.zinniaspan.testkit.VirtualNetwork;

/** Simulated availability zone of call runners on virtual time; its service records every run. */
final class SimulatedZone {

  static final String ZONE = "zone-a";
  static final AtMostOnceSettings SETTINGS =
      new AtMostOnceSettings(20_000, 2_000, 1_000, 800, 100, 1_000, 1_000_000);
  private static final ServiceClass CLASS = new ServiceClass("charge", 0, 1_500, 0, 0, 0, true);
  private static final String INVENTORY =
      "{\"regions\":[{\"name\":\"r\",\"zones\":[\"zone-a\",\"zone-b\"]}],"
          + "\"models\":[],\"endpoints\":["
          + "{\"name\":\"app-1\",\"kind\":\"service\",\"zone\":\"zone-a\","
          + "\"address\":\"127.0.0.1:1\",\"service\":\"app\",\"slots\":8}]}";

  private static final String RULES =
      "{\"classes\":[{\"name\":\"charge\",\"tier\":0,\"firstTokenTargetMs\":1500,"
          + "\"nonIdempotent\":true}],\"assign\":[]}";

  /** Name of a VM in another zone, which has no endpoint. */
  static final String OUTSIDE = "outside";

  /** One attempt of a caller, and its result. */
  static final class Attempt {
    final String key;
    final String id;
    final long startedMs;
    Optional<CallResult> result = Optional.empty();
    long resultMs;

    Attempt(String key, String id, long startedMs) {
      this.key = key;
      this.id = id;
      this.startedMs = startedMs;
    }

    String label() {
      return result.map(r -> r.outcome().label()).orElse("none");
    }
  }

  private record Run(String key, String attemptId, long atMs) {}

  final class Vm {
    final String name;
    final long incarnation = clock.nowMs();
    final ConfigurationStore store = new ConfigurationStore();
    final ServiceCallRunner runner;
    boolean readsPlatform = true;
    private long confirmedMs;

    Vm(String name) {
      this.name = name;
      Member self = new Member(name, incarnation, "127.0.0.1:1", false);
      store.offer(new Document(DocumentName.INVENTORY, 1, bytes(INVENTORY)));
      store.offer(new Document(DocumentName.RULES, 1, bytes(RULES)));
      runner =
          new ServiceCallRunner(
              RunnerContext.of(self, zoneOf(name))
                  .configuration(store::current)
                  .link(network.link(name, incarnation))
                  .slotsAndSender(new RandomRefusalSlots(), this::send)
                  .clock(clock)
                  .listConfirmedMs(() -> confirmedMs)
                  .settings(SETTINGS, random.nextLong()));
      network.start(name, incarnation, runner, this::tick);
    }

    private void tick() {
      if (readsPlatform && clock.nowMs() >= publishedMs + adoptionLagMs) {
        adopt();
      }
      runner.tick();
    }

    void adopt() {
      store.offer(list);
      confirmedMs = clock.nowMs();
    }

    private void send(
        Endpoint endpoint,
        ServiceCall call,
        String attemptId,
        BooleanSupplier mayStart,
        Consumer<SendResult> done) {
      int roll = random.nextInt(100);
      if (!mayStart.getAsBoolean() || roll < notSentPercent) {
        network.schedule(name, 1, () -> done.accept(new SendResult.NotSent("refused")));
        return;
      }
      network.schedule(name, 1, () -> runAtService(call, roll, done));
    }

    private void runAtService(ServiceCall call, int roll, Consumer<SendResult> done) {
      String key = call.idempotencyKey().orElseThrow();
      runs.add(new Run(key, call.requestId(), clock.nowMs()));
      byte[] body = bytes(key + " ran for " + call.requestId());
      SendResult result =
          roll < notSentPercent + brokenPercent
              ? new SendResult.MaybeSent("broken")
              : new SendResult.Answered(new ServiceResponse(200, "text/plain", body));
      network.schedule(name, 1 + random.nextInt(serviceMs), () -> done.accept(result));
    }
  }

  private final class RandomRefusalSlots implements SlotService {
    @Override
    public CompletableFuture<LeaseResponse> acquire(LeaseRequest request, Runnable onPreempt) {
      LeaseResponse refused =
          new LeaseResponse.Refused(NotRunReason.OVERLOADED, Optional.of(1_000L));
      LeaseResponse granted = new LeaseResponse.Granted("app-1", clock.nowMs() + 500);
      boolean refuse = random.nextInt(100) < refusedPercent;
      return CompletableFuture.completedFuture(refuse ? refused : granted);
    }

    @Override
    public void withdraw(String attemptId) {
      // Requests never wait for a slot.
    }

    @Override
    public void release(String attemptId, SlotUse use) {
      // Slots are unlimited.
    }
  }

  final VirtualClock clock = new VirtualClock(1_000_000_000L);
  final VirtualNetwork network;
  final Random random;
  final Map<String, Vm> vms = new HashMap<>();
  final List<Attempt> attempts = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();
  final List<String> listed = new ArrayList<>();
  private final Set<String> paused = new HashSet<>();
  private final Set<Set<String>> cuts = new HashSet<>();
  private final Map<String, Long> sinceMs = new HashMap<>();
  private Document list;
  private long revision = 1;
  private long publishedMs;
  long adoptionLagMs;
  int refusedPercent;
  int notSentPercent;
  int brokenPercent;
  int serviceMs = 5;

  SimulatedZone(int size, long seed) {
    random = new Random(seed);
    network = new VirtualNetwork(clock, seed);
    for (int i = 1; i <= size; i++) {
      start("vm-" + i);
      listed.add("vm-" + i);
    }
    start(OUTSIDE);
    publish();
  }

  private static String zoneOf(String name) {
    return name.equals(OUTSIDE) ? "zone-b" : ZONE;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Starts a process on a VM, which replaces an earlier one. */
  Vm start(String name) {
    clock.advance(1);
    sinceMs.put(name, clock.nowMs());
    Vm vm = new Vm(name);
    vms.put(name, vm);
    return vm;
  }

  void kill(String name) {
    network.kill(name);
    paused.remove(name);
    vms.remove(name);
  }

  void pause(String name) {
    network.pause(name);
    paused.add(name);
  }

  void resume(String name) {
    network.resume(name);
    paused.remove(name);
  }

  boolean hasList(String name) {
    return vms.get(name).store.current().revision(DocumentName.VMS) > 0;
  }

  boolean isPaused(String name) {
    return paused.contains(name);
  }

  void cut(String a, String b) {
    network.partition(a, b);
    cuts.add(Set.of(a, b));
  }

  void heal() {
    network.healPartitions();
    cuts.clear();
  }

  boolean isCut(String a, String b) {
    return !a.equals(b) && cuts.contains(Set.of(a, b));
  }

  /**
   * Publishes the list of VMs; each VM that reads the platform adopts it after the adoption lag.
   */
  void publish() {
    revision++;
    publishedMs = clock.nowMs();
    String rows =
        Stream.concat(listed.stream(), Stream.of(OUTSIDE))
            .map(
                name ->
                    "{\"name\":\"%s\",\"zone\":\"%s\",\"role\":\"entry\",\"state\":\"live\","
                            .formatted(name, zoneOf(name))
                        + "\"address\":\"127.0.0.1:1\",\"sinceMs\":%d}"
                            .formatted(sinceMs.get(name)))
            .collect(Collectors.joining(","));
    String json = "{\"asOfMs\":%d,\"vms\":[%s]}".formatted(clock.nowMs(), rows);
    list = new Document(DocumentName.VMS, revision, bytes(json));
  }

  /** Returns whether a majority of the listed VMs has adopted the newest list. */
  boolean isListKnown() {
    long known =
        listed.stream()
            .filter(vms::containsKey)
            .filter(vm -> vms.get(vm).store.current().revision(DocumentName.VMS) == revision)
            .count();
    return known > listed.size() / 2;
  }

  /** Sends an attempt of a caller to a VM; a paused VM reads it after it resumes. */
  Attempt call(String vm, String key) {
    Attempt attempt = new Attempt(key, "attempt-" + attempts.size(), clock.nowMs());
    attempts.add(attempt);
    Vm target = vms.get(vm);
    network.schedule(vm, 1, () -> run(target, attempt));
    return attempt;
  }

  private void run(Vm vm, Attempt attempt) {
    ServiceCall call =
        new ServiceCall(
            attempt.id,
            "org",
            CLASS,
            "app",
            "POST",
            "/charges",
            Map.of(),
            new byte[0],
            Optional.of(attempt.key),
            clock.nowMs());
    vm.runner
        .run(call)
        .thenAccept(
            result -> {
              attempt.result = Optional.of(result);
              attempt.resultMs = clock.nowMs();
            });
  }

  long runsOf(String key) {
    return runs.stream().filter(run -> run.key().equals(key)).count();
  }

  /**
   * Asserts for all attempts so far that no key ran more than once, that no attempt made before a
   * "not run" result ran its key, and that each response belongs to the key.
   */
  void check(String seed) {
    for (Attempt attempt : attempts) {
      assertWithMessage("runs of %s, seed %s", attempt.key, seed)
          .that(runsOf(attempt.key))
          .isAtMost(1);
      if (attempt.result.isPresent()) {
        checkResult(attempt, attempt.result.get(), seed);
      }
    }
  }

  private void checkResult(Attempt attempt, CallResult result, String seed) {
    if (result.outcome() instanceof Outcome.NotRun) {
      for (Run run : runs) {
        boolean earlier = run.key().equals(attempt.key) && isStartedBefore(run, attempt.resultMs);
        assertWithMessage("%s not run but ran, seed %s", attempt.id, seed).that(earlier).isFalse();
      }
    }
    result
        .response()
        .ifPresent(
            response ->
                assertWithMessage("response to %s, seed %s", attempt.id, seed)
                    .that(new String(response.body(), StandardCharsets.UTF_8))
                    .startsWith(attempt.key + " ran for "));
  }

  private boolean isStartedBefore(Run run, long timeMs) {
    return attempts.stream().anyMatch(a -> a.id.equals(run.attemptId()) && a.startedMs < timeMs);
  }
}
