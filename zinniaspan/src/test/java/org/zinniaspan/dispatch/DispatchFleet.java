package org.zinniaspan.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.zinniaspan.configuration.ConfigurationStore;
import org.zinniaspan.configuration.Document;
import org.zinniaspan.configuration.DocumentName;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.inventory.ServiceClass;
import org.zinniaspan.membership.Member;
import org.zinniaspan.membership.Membership;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.peer.PeerMessageRouter;
import org.zinniaspan.routing.EndpointTable;
import org.zinniaspan.routing.LeastReportedLoad;
import org.zinniaspan.testkit.VirtualClock;
import org.zinniaspan.testkit.VirtualNetwork;

/**
 * Several VMs on a virtual clock and network that request slots of one pool; records violations of
 * the dispatch rules.
 */
final class DispatchFleet {

  static final Pool POOL = Pool.model("m");
  static final int ENDPOINTS = 2;
  static final int SLOTS = 3;
  static final List<ServiceClass> CLASSES =
      List.of(
          new ServiceClass("counter", 0, 1_000, 0, 0, 0, false),
          new ServiceClass("lookup", 1, 1_500, 0, 0, 0, false),
          new ServiceClass("dossier", 2, 3_000, 0, 0, 0, false),
          new ServiceClass("flagging", 3, 30_000, 0, 0, 0, false));

  final VirtualClock clock = new VirtualClock(1_000_000);
  final VirtualNetwork network;
  final Map<String, Vm> vms = new TreeMap<>();
  final List<TrackedRequest> requests = new ArrayList<>();
  final Map<String, Integer> busySlots = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  boolean faultOrFallbackSeen;
  int maxBusySlots;
  double meanServiceMs = 150;
  private final Random random;
  private final QueueLimits limits;
  private final ConfigurationStore store = new ConfigurationStore();
  private int nextId;

  /** One request and its result. */
  static final class TrackedRequest {
    final LeaseRequest request;
    final String vm;
    Optional<LeaseResponse> response = Optional.empty();
    long respondedMs;
    boolean lostWithVm;
    boolean ended;
    boolean preempted;

    TrackedRequest(LeaseRequest request, String vm) {
      this.request = request;
      this.vm = vm;
    }

    boolean isGranted() {
      return response.filter(LeaseResponse.Granted.class::isInstance).isPresent();
    }

    boolean isRefused() {
      return response.filter(LeaseResponse.Refused.class::isInstance).isPresent();
    }

    boolean isPending() {
      return !lostWithVm && response.isEmpty();
    }
  }

  /** One process with its own membership view. */
  final class Vm implements Membership {
    final Member self;
    final EndpointTable table = new EndpointTable("z", store::current, clock);
    final Dispatcher dispatcher;
    final DispatcherSlotService slots;
    List<Member> view;
    boolean paused;

    Vm(Member self, List<Member> view) {
      this.self = self;
      this.view = view;
      PeerLink link = network.link(self.vm(), self.incarnation());
      dispatcher = new Dispatcher(context(new PriorityOracle(violations)), link);
      slots = new DispatcherSlotService(context(new PriorityOracle(violations)), link);
    }

    private DispatchContext context(SlotDecisionListener listener) {
      return new DispatchContext(
          this, table, new LeastReportedLoad(), store::current, clock, limits, listener);
    }

    void start() {
      PeerMessageRouter router = new PeerMessageRouter();
      router.register(dispatcher, Dispatcher.bodyCases());
      router.register(slots, DispatcherSlotService.bodyCases());
      network.start(self.vm(), self.incarnation(), router, this::tick);
    }

    private void tick() {
      dispatcher.tick();
      slots.tick();
    }

    @Override
    public Member self() {
      return self;
    }

    @Override
    public List<Member> live() {
      return view;
    }

    @Override
    public long changedAtMs() {
      return 0;
    }

    @Override
    public Optional<String> addressOf(String vm) {
      return Optional.empty();
    }
  }

  DispatchFleet(int size, long seed, QueueLimits limits) {
    this.limits = limits;
    this.network = new VirtualNetwork(clock, seed);
    this.random = new Random(seed + 1);
    publish();
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      members.add(new Member("vm-" + i, clock.nowMs(), "", false));
    }
    for (Member member : members) {
      vms.put(member.vm(), new Vm(member, members));
    }
    vms.values().forEach(Vm::start);
    advance(100);
  }

  private void publish() {
    StringBuilder endpoints = new StringBuilder();
    for (int i = 0; i < ENDPOINTS; i++) {
      endpoints.append(i == 0 ? "" : ",");
      endpoints.append(
          String.format(
              "{\"name\":\"e%d\",\"kind\":\"engine\",\"zone\":\"z\",\"address\":\"127.0.0.1:%d\","
                  + "\"models\":[\"m\"],\"slots\":%d}",
              i, 9000 + i, SLOTS));
    }
    offer(
        DocumentName.INVENTORY,
        "{\"regions\":[{\"name\":\"r\",\"zones\":[\"z\"]}],\"models\":[{\"name\":\"m\"}],"
            + "\"endpoints\":["
            + endpoints
            + "]}");
  }

  private void offer(DocumentName name, String json) {
    Object result = store.offer(new Document(name, 1, json.getBytes(StandardCharsets.UTF_8)));
    if (!result.toString().startsWith("Adopted")) {
      throw new IllegalStateException(result.toString());
    }
  }

  TrackedRequest submit(
      String vm, ServiceClass serviceClass, String organisation, boolean preemptible) {
    Vm at = vms.get(vm);
    long now = clock.nowMs();
    long deadlineMs = now + serviceClass.firstTokenTargetMs();
    LeaseRequest request =
        new LeaseRequest(
            "a-" + nextId++,
            POOL,
            serviceClass,
            organisation,
            now,
            deadlineMs,
            50,
            100,
            List.of(),
            Set.of(),
            preemptible);
    TrackedRequest tracked = new TrackedRequest(request, vm);
    requests.add(tracked);
    at.slots
        .acquire(request, () -> preempt(at, tracked))
        .thenAccept(response -> onResponse(at, tracked, response));
    return tracked;
  }

  private void onResponse(Vm at, TrackedRequest tracked, LeaseResponse response) {
    if (tracked.response.isPresent()) {
      violations.add("two responses: " + tracked.request.attemptId());
    }
    tracked.response = Optional.of(response);
    tracked.respondedMs = clock.nowMs();
    if (response instanceof LeaseResponse.Granted granted) {
      int now = busySlots.merge(granted.endpoint(), 1, Integer::sum);
      maxBusySlots = Math.max(maxBusySlots, now);
      long serviceMs = 1 + (long) (meanServiceMs * (0.5 + random.nextDouble()));
      network.schedule(at.self.vm(), serviceMs, () -> end(at, tracked, SlotResult.COMPLETED));
    }
  }

  private void preempt(Vm at, TrackedRequest tracked) {
    tracked.preempted = true;
    network.schedule(at.self.vm(), 1, () -> end(at, tracked, SlotResult.CANCELLED));
  }

  private void end(Vm at, TrackedRequest tracked, SlotResult result) {
    if (!tracked.ended) {
      freeSlot(tracked);
      at.slots.release(tracked.request.attemptId(), new SlotUse(result, 100, 10));
    }
  }

  private void freeSlot(TrackedRequest tracked) {
    tracked.ended = true;
    if (tracked.response.get() instanceof LeaseResponse.Granted granted) {
      busySlots.merge(granted.endpoint(), -1, Integer::sum);
    }
  }

  void kill(String vm) {
    network.kill(vm);
    vms.remove(vm);
    for (TrackedRequest tracked : requests) {
      if (tracked.vm.equals(vm) && !tracked.ended) {
        tracked.lostWithVm = true;
        if (tracked.isGranted()) {
          freeSlot(tracked);
        }
      }
    }
  }

  void start(String vm) {
    Member self = new Member(vm, clock.nowMs(), "", false);
    List<Member> view = new ArrayList<>(List.of(self));
    vms.values().forEach(other -> view.add(other.self));
    vms.put(vm, new Vm(self, view));
    vms.get(vm).start();
  }

  /** Sets one VM's membership view to itself and the running VMs that the predicate accepts. */
  void refreshView(String vm, Predicate<Member> seen) {
    Vm at = vms.get(vm);
    at.view =
        vms.values().stream()
            .map(other -> other.self)
            .filter(member -> member.equals(at.self) || seen.test(member))
            .toList();
  }

  /** Advances the virtual time and records whether a gateway used its fallback. */
  void advance(long ms) {
    for (long left = ms; left > 0; left -= 10) {
      network.advance(Math.min(10, left));
      faultOrFallbackSeen |= vms.values().stream().anyMatch(vm -> vm.slots.isFallback(POOL));
    }
  }

  void checkDeadlines(long graceMs) {
    long now = clock.nowMs();
    for (TrackedRequest tracked : requests) {
      Vm at = vms.get(tracked.vm);
      boolean runs = at != null && !at.paused;
      if (tracked.isPending() && runs && now > tracked.request.deadlineMs() + graceMs) {
        violations.add("no response by the deadline: " + tracked.request.attemptId());
      }
    }
  }

  /** Returns the number of slots that the endpoint tables of all VMs record as held. */
  int slotsRecordedAsHeld() {
    return vms.values().stream()
        .flatMap(vm -> vm.table.endpoints().stream().map(vm.table::snapshot))
        .mapToInt(state -> state.heldSlots())
        .sum();
  }
}
