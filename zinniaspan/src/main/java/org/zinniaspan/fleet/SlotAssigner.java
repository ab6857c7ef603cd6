package org.zinniaspan.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.PauseDetector;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.forwarding.EndpointDirectory;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.RejectionLimits;
import org.zinniaspan.forwarding.SlotLedger;
import org.zinniaspan.forwarding.TrackedEndpoint;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.peer.proto.HeldSlots;
import org.zinniaspan.peer.proto.SlotAssignment;
import org.zinniaspan.peer.proto.SlotAssignmentQuery;

/**
 * Assigns the slots of endpoints in this VM's availability zone to all VMs, while this VM has that
 * role, so that no endpoint gets more requests than it has slots.
 *
 * <p>What is assigned is known only to this process and to the VMs that hold slots. A VM that takes
 * the role over first waits until all of them have stated what they hold. Not thread-safe.
 */
public final class SlotAssigner implements Ticking {

  /** Time after taking over in which VMs state what they hold, in milliseconds. */
  private static final long SETTLE_MS = 1_000;

  /** Time after which a VM that stated nothing holds no slots any more, in milliseconds. */
  private static final long HOLDER_SILENCE_MS = 5_000;

  /** Interval between two messages to the VMs that could assign slots too, in milliseconds. */
  private static final long CANDIDATE_INTERVAL_MS = 500;

  /** Timeout of these messages, in milliseconds. */
  private static final long CANDIDATE_TIMEOUT_MS = 400;

  /** Gap between two ticks that is taken for a pause of this process, in milliseconds. */
  private static final long MAX_TICK_GAP_MS = 500;

  /** Most slots in one reply. */
  private static final int MAX_ASSIGNED = 8;

  /** Failures of an endpoint, decayed, from which it gets nothing. */
  static final double MAX_FAILURES = 0.7;

  /** Factor of the usable slots after a rejection. */
  private static final double REJECTION_FACTOR = 0.9;

  private static final double MIN_USABLE_SHARE = 0.3;

  /** Increase of the usable share of the slots, per millisecond. */
  private static final double USABLE_SHARE_PER_MS = 0.05 / 1_000;

  private record Waiting(
      SlotAssignmentQuery query, long arrivedMs, Consumer<SlotAssignment> responder) {}

  private static final class Service {
    private final SlotLedger ledger = new SlotLedger();
    private final List<Waiting> waiting = new ArrayList<>();
    private final Set<String> informed = new HashSet<>();
    private boolean assigning;
    private long assigningSinceMs;
    private long nextCandidateQueryMs;

    /** Share of the VMs that take part; those of earlier releases do not. */
    private double participatingShare = 1;

    private double usableShare = 1;
    private long usableShareMs;
    private long rejectionSeenMs = Long.MIN_VALUE;
  }

  private final SlotAssignerRole role;
  private final FleetMembership members;
  private final EndpointDirectory directory;
  private final RejectionLimits rejections;
  private final PeerClient peers;
  private final Clock clock;
  private final ToDoubleFunction<String> slotMs;
  private final long epoch;
  private final PauseDetector steadyPauses;
  private final PauseDetector timeOfDayPauses;
  private final Map<String, Service> services = new HashMap<>();

  SlotAssigner(
      SlotAssignerRole role,
      FleetMembership members,
      EndpointDirectory directory,
      RejectionLimits rejections,
      PeerClient peers,
      Clock clock,
      Clock timeOfDay,
      ToDoubleFunction<String> slotMs,
      long epoch) {
    this.role = role;
    this.members = members;
    this.directory = directory;
    this.rejections = rejections;
    this.peers = peers;
    this.clock = clock;
    this.slotMs = slotMs;
    this.epoch = epoch;
    // A suspended process notices by the time of day only.
    this.steadyPauses = new PauseDetector(clock, MAX_TICK_GAP_MS);
    this.timeOfDayPauses = new PauseDetector(timeOfDay, MAX_TICK_GAP_MS);
  }

  /** Returns whether this VM assigns the slots of a service's endpoints now. */
  boolean assigns(String service) {
    return services.containsKey(service) && services.get(service).assigning;
  }

  /** Returns the number of services whose endpoints' slots this VM assigns now. */
  public int size() {
    return (int) services.values().stream().filter(service -> service.assigning).count();
  }

  /** Handles the query of another VM, or of this one; the responder is called once. */
  public void onQuery(SlotAssignmentQuery query, Consumer<SlotAssignment> responder) {
    observePauses();
    String name = query.getService();
    Service service = services.computeIfAbsent(name, key -> new Service());
    if (query.getAnnounces()) {
      role.trust(query.getSender(), members.zone());
    }
    updateRole(name, service);
    if (!service.assigning) {
      SlotAssignment.Builder reply = SlotAssignment.newBuilder();
      role.assigner(members.zone(), name).ifPresent(reply::setAssigner);
      responder.accept(reply.build());
      return;
    }
    service.ledger.register(statement(query), clock.nowMs());
    if (query.getWanted() > 0 || query.getWithdraws()) {
      replaceEarlier(service, query);
    }
    if (query.getWanted() > 0) {
      service.waiting.add(new Waiting(query, clock.nowMs(), responder));
    } else {
      responder.accept(SlotAssignment.newBuilder().setAssigns(true).build());
    }
    serve(name, service);
  }

  private static SlotLedger.Statement statement(SlotAssignmentQuery query) {
    return new SlotLedger.Statement(
        query.getSender(),
        query.getEpoch(),
        query.getNumber(),
        Set.copyOf(query.getUnansweredList()),
        query.getHeldList().stream()
            .collect(Collectors.toMap(HeldSlots::getEndpoint, HeldSlots::getCount, Integer::sum)));
  }

  private void replaceEarlier(Service service, SlotAssignmentQuery query) {
    List<Waiting> replaced =
        service.waiting.stream()
            .filter(w -> w.query().getSender().equals(query.getSender()))
            .toList();
    service.waiting.removeAll(replaced);
    replaced.forEach(w -> respond(service, w, List.of()));
  }

  private void observePauses() {
    boolean paused = steadyPauses.observe();
    paused |= timeOfDayPauses.observe();
    if (paused) {
      services.values().forEach(service -> stopAssigning(service));
    }
  }

  private void stopAssigning(Service service) {
    service.assigning = false;
    service.ledger.clear();
    List<Waiting> waiting = List.copyOf(service.waiting);
    service.waiting.clear();
    waiting.forEach(w -> w.responder().accept(SlotAssignment.getDefaultInstance()));
  }

  private void updateRole(String name, Service service) {
    boolean self = role.isSelf(name);
    if (self == service.assigning) {
      return;
    }
    EventLog.event("slot-assigner").with("service", name).with("assigns", self).info();
    if (self) {
      service.assigning = true;
      service.assigningSinceMs = clock.nowMs();
      service.nextCandidateQueryMs = 0;
      service.informed.clear();
      service.ledger.clear();
    } else {
      stopAssigning(service);
    }
  }

  @Override
  public void tick() {
    observePauses();
    Set<String> limited = rejections.services();
    limited.forEach(name -> services.computeIfAbsent(name, key -> new Service()));
    services
        .entrySet()
        .removeIf(
            entry -> {
              boolean ended = !limited.contains(entry.getKey());
              if (ended) {
                stopAssigning(entry.getValue());
              }
              return ended;
            });
    services.forEach(
        (name, service) -> {
          updateRole(name, service);
          if (service.assigning) {
            informCandidates(name, service);
            service.ledger.removeSilentSince(clock.nowMs() - HOLDER_SILENCE_MS);
            serve(name, service);
            endWaits(name, service);
          } else {
            checkFirstInRank(name, service);
          }
        });
  }

  /**
   * Tells the other candidates that this VM assigns, and yields to those before it in rank that
   * reply.
   */
  private void informCandidates(String name, Service service) {
    long now = clock.nowMs();
    if (now < service.nextCandidateQueryMs) {
      return;
    }
    service.nextCandidateQueryMs = now + CANDIDATE_INTERVAL_MS;
    List<String> ranked = role.ranked(members.zone(), name);
    int own = ranked.indexOf(members.self());
    for (String candidate : ranked) {
      if (ranked.indexOf(candidate) < own) {
        query(candidate, name, false);
      } else if (!candidate.equals(members.self()) && service.informed.add(candidate)) {
        query(candidate, name, true);
      }
    }
  }

  /** Checks that the VM that this one takes for the assigner is one. */
  private void checkFirstInRank(String name, Service service) {
    long now = clock.nowMs();
    if (now >= service.nextCandidateQueryMs
        && role.ranked(members.zone(), name).contains(members.self())) {
      service.nextCandidateQueryMs = now + CANDIDATE_INTERVAL_MS;
      role.assigner(members.zone(), name).ifPresent(vm -> query(vm, name, false));
    }
  }

  private void query(String candidate, String name, boolean announces) {
    SlotAssignmentQuery query =
        SlotAssignmentQuery.newBuilder()
            .setSender(members.self())
            .setEpoch(epoch)
            .setService(name)
            .setNumber(Long.MIN_VALUE)
            .setAnnounces(announces)
            .build();
    peers.querySlots(
        candidate,
        query,
        CANDIDATE_TIMEOUT_MS,
        reply -> {
          if (announces) {
            if (reply.isEmpty() && services.containsKey(name)) {
              services.get(name).informed.remove(candidate);
            }
          } else if (reply.map(SlotAssignment::getAssigns).orElse(false)) {
            role.trust(candidate, members.zone());
          } else {
            role.suspect(candidate);
          }
        });
  }

  /** Assigns free slots to the VMs that wait, the most urgent first. */
  private void serve(String name, Service service) {
    if (service.waiting.isEmpty() || clock.nowMs() - service.assigningSinceMs < SETTLE_MS) {
      return;
    }
    updateUsableShare(name, service);
    service.participatingShare = members.slotAssignmentShare();
    service.waiting.sort(
        Comparator.<Waiting>comparingInt(w -> w.query().getRank())
            .thenComparingLong(Waiting::arrivedMs));
    List<ListedEndpoint> usable = usableEndpoints(name);
    for (Waiting waiting : List.copyOf(service.waiting)) {
      List<String> assigned = pickSlots(service, usable, waiting.query());
      if (!assigned.isEmpty()) {
        service.waiting.remove(waiting);
        service.ledger.assign(waiting.query().getSender(), waiting.query().getNumber(), assigned);
        respond(service, waiting, assigned);
      }
    }
  }

  /** Returns the ids of the endpoints with the largest shares of free slots, one for each slot. */
  private List<String> pickSlots(
      Service service, List<ListedEndpoint> endpoints, SlotAssignmentQuery query) {
    List<ListedEndpoint> candidates =
        endpoints.stream().filter(e -> !query.getUnusableList().contains(e.id())).toList();
    List<String> picked = new ArrayList<>();
    while (picked.size() < Math.min(MAX_ASSIGNED, query.getWanted())) {
      ListedEndpoint freest = null;
      double largestShare = 0;
      for (ListedEndpoint endpoint : candidates) {
        int taken = service.ledger.taken(endpoint.id()) + count(picked, endpoint.id());
        double free = usableSlots(service, endpoint) - taken;
        if (free >= 1 && free / endpoint.slots() > largestShare) {
          freest = endpoint;
          largestShare = free / endpoint.slots();
        }
      }
      if (freest == null) {
        return picked;
      }
      picked.add(freest.id());
    }
    return picked;
  }

  private boolean isAssignedHere(ListedEndpoint endpoint) {
    return role.assigningZone(endpoint.zone()).equals(Optional.of(members.zone()));
  }

  private static int count(List<String> ids, String id) {
    return (int) ids.stream().filter(id::equals).count();
  }

  private List<ListedEndpoint> usableEndpoints(String service) {
    return directory.ready(service).stream()
        .filter(e -> isAssignedHere(e.listed()))
        .filter(e -> e.failures(clock.nowMs()) < MAX_FAILURES)
        .map(TrackedEndpoint::listed)
        .filter(e -> rejections.pausedMs(e) <= 0)
        .toList();
  }

  /** Returns the slots of an endpoint that may be assigned; VMs of earlier releases use others. */
  private double usableSlots(Service service, ListedEndpoint endpoint) {
    int slots = Math.max(1, endpoint.slots());
    double otherShare = 1 - service.participatingShare;
    double others = otherShare > 0 ? 1 + Math.ceil(slots * otherShare) : 0;
    return Math.max(1, Math.floor((slots - others) * service.usableShare));
  }

  /** Uses fewer slots after each rejection, as endpoints may have less room than they state. */
  private void updateUsableShare(String name, Service service) {
    long now = clock.nowMs();
    double recovered = USABLE_SHARE_PER_MS * (now - service.usableShareMs);
    service.usableShareMs = now;
    service.usableShare = Math.min(1, service.usableShare + recovered);
    long newestMs = service.rejectionSeenMs;
    for (TrackedEndpoint endpoint : directory.ready(name)) {
      long rejectedMs = rejections.rejectedMs(endpoint.listed()).orElse(Long.MIN_VALUE);
      if (endpoint.listed().zone().equals(members.zone()) && rejectedMs > service.rejectionSeenMs) {
        service.usableShare = Math.max(MIN_USABLE_SHARE, service.usableShare * REJECTION_FACTOR);
        newestMs = Math.max(newestMs, rejectedMs);
      }
    }
    service.rejectionSeenMs = newestMs;
  }

  private void endWaits(String name, Service service) {
    long now = clock.nowMs();
    List<Waiting> ended =
        service.waiting.stream().filter(w -> now - w.arrivedMs() >= w.query().getWaitMs()).toList();
    service.waiting.removeAll(ended);
    ended.forEach(w -> respond(service, w, List.of()));
  }

  private void respond(Service service, Waiting waiting, List<String> assigned) {
    waiting
        .responder()
        .accept(
            SlotAssignment.newBuilder()
                .setAssigns(true)
                .addAllEndpoints(assigned)
                .setExpectedWaitMs(
                    assigned.isEmpty() ? expectedWaitMs(waiting.query().getService(), service) : 0)
                .build());
  }

  /** Returns the time in which the VMs that wait get their slots, in milliseconds. */
  private long expectedWaitMs(String name, Service service) {
    int wanted = 1 + service.waiting.stream().mapToInt(w -> w.query().getWanted()).sum();
    double slots = usableEndpoints(name).stream().mapToDouble(e -> usableSlots(service, e)).sum();
    return Math.round(slotMs.applyAsDouble(name) * wanted / Math.max(1, slots));
  }
}
