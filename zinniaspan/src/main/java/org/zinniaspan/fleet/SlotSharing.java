package org.zinniaspan.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.forwarding.AssignedSlots;
import org.zinniaspan.forwarding.EndpointDirectory;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.RejectionLimits;
import org.zinniaspan.forwarding.TrackedEndpoint;
import org.zinniaspan.peer.proto.HeldSlots;
import org.zinniaspan.peer.proto.SlotAssignment;
import org.zinniaspan.peer.proto.SlotAssignmentQuery;

/**
 * Gets slots of endpoints that state a rejection limit from the VMs that assign them, for the
 * requests of this VM that wait.
 *
 * <p>The VM that assigns the slots in this VM's availability zone is asked first, and holds the
 * query until a slot is free; those of other zones are asked while none is. All are told which
 * slots this VM holds. Not thread-safe.
 */
public final class SlotSharing implements AssignedSlots, Ticking {

  /** Time from the first statement of a limit until slots are required, in milliseconds. */
  private static final long START_MS = 1_500;

  /** Time for which an unused slot is kept, in milliseconds. */
  private static final long UNUSED_MS = 30;

  /** Time for which the assigner of the own zone may hold a query, in milliseconds. */
  private static final long WAIT_MS = 300;

  /** Time beyond the wait until a query has failed, in milliseconds. */
  private static final long TIMEOUT_MS = 300;

  /** Time until a query counts as held, in milliseconds. */
  private static final long HELD_MS = 20;

  /** Interval in which held slots are stated again, in milliseconds. */
  private static final long REPEAT_MS = 1_000;

  /** Time until a zone without a free slot is asked again, in milliseconds. */
  private static final long FULL_ZONE_MS = 150;

  /** Time until a VM that does not assign slots is asked again, in milliseconds. */
  private static final long REFUSED_MS = 40;

  /** Most slots that are asked for at once. */
  private static final int MAX_WANTED = 16;

  /** Most slots that another zone is asked for at once. */
  private static final int MAX_WANTED_ELSEWHERE = 4;

  /** Age from which an expected wait is not believed, in milliseconds. */
  private static final long MAX_WAIT_AGE_MS = 500;

  /** Expected time until an assigner replies, in milliseconds. */
  private static final long QUERY_MS = 20;

  private record Waiting(String service, int rank) {}

  private record Unused(long sinceMs, long sinceTimeOfDayMs) {}

  private record SourceKey(String service, String zone) {}

  /** What this VM has asked the assigner of a service in one zone, and told it. */
  private static final class Source {
    private final Set<Long> unanswered = new HashSet<>();
    private String assigner = "";

    /** Slots that the assigner counts for this VM: those of the last message and assigned since. */
    private Map<String, Integer> stated = Map.of();

    private long statedMs;
    private long askNumber;
    private long askedMs;
    private int askedWanted;
    private int askedRank;
    private long nextAskMs;
    private long heardMs = Long.MIN_VALUE;
    private long expectedWaitMs;
    private long expectedAtMs = Long.MIN_VALUE / 2;

    boolean isAsking() {
      return unanswered.contains(askNumber);
    }
  }

  private final SlotAssignerRole role;
  private final SlotAssigner assigner;
  private final FleetMembership members;
  private final EndpointDirectory directory;
  private final RejectionLimits rejections;
  private final PeerClient peers;
  private final Clock clock;
  private final Clock timeOfDay;
  private final Random random;
  private final long epoch;
  private final Map<Object, Waiting> waiting = new IdentityHashMap<>();
  private final Map<String, Deque<Unused>> unused = new HashMap<>();
  private final Map<SourceKey, Source> sources = new HashMap<>();
  private final Map<String, Long> limitedSinceMs = new HashMap<>();
  private long lastNumber;
  private Runnable onAssigned = () -> {};
  private Predicate<ListedEndpoint> usable = endpoint -> true;

  private SlotSharing(
      SlotAssignerRole role,
      SlotAssigner assigner,
      FleetMembership members,
      EndpointDirectory directory,
      RejectionLimits rejections,
      PeerClient peers,
      Clock clock,
      Clock timeOfDay,
      Random random,
      long epoch) {
    this.role = role;
    this.assigner = assigner;
    this.members = members;
    this.directory = directory;
    this.rejections = rejections;
    this.peers = peers;
    this.clock = clock;
    this.timeOfDay = timeOfDay;
    this.random = random;
    this.epoch = epoch;
  }

  /**
   * Creates the sharing of a VM that holds no slots, and announces that it can assign them.
   *
   * @param rejections the rejection limits that endpoints state
   * @param timeOfDay time of day in milliseconds since the epoch
   * @param slotMs returns the mean time for which a request occupies a slot, in milliseconds, by
   *     the service's name
   */
  public static SlotSharing create(
      FleetMembership members,
      EndpointDirectory directory,
      RejectionLimits rejections,
      PeerClient peers,
      Clock clock,
      Clock timeOfDay,
      ToDoubleFunction<String> slotMs,
      Random random) {
    long epoch = random.nextLong();
    members.announceSlotAssignment();
    SlotAssignerRole role = new SlotAssignerRole(members, clock);
    SlotAssigner assigner =
        new SlotAssigner(
            role, members, directory, rejections, peers, clock, timeOfDay, slotMs, epoch);
    return new SlotSharing(
        role, assigner, members, directory, rejections, peers, clock, timeOfDay, random, epoch);
  }

  /** Returns the part that assigns slots while this VM has that role. */
  public SlotAssigner assigner() {
    return assigner;
  }

  /** Sets what is run when slots have been assigned to this VM. */
  public void whenAssigned(Runnable action) {
    onAssigned = action;
  }

  /** Sets which endpoints this VM can use; it asks for no slots of others. */
  public void useOnly(Predicate<ListedEndpoint> condition) {
    usable = condition;
  }

  @Override
  public boolean areRequired(ListedEndpoint endpoint) {
    Long sinceMs = limitedSinceMs.get(endpoint.service());
    return sinceMs != null
        && clock.nowMs() - sinceMs >= START_MS
        && role.assigningZone(endpoint.zone()).isPresent()
        && rejections.appliesTo(endpoint);
  }

  @Override
  public long remainingMs(ListedEndpoint endpoint) {
    if (unusedCount(endpoint.id()) > 0) {
      return 0;
    }
    Source source =
        role.assigningZone(endpoint.zone())
            .map(zone -> sources.get(new SourceKey(endpoint.service(), zone)))
            .orElse(null);
    boolean known = source != null && clock.nowMs() - source.expectedAtMs <= MAX_WAIT_AGE_MS;
    return known ? Math.max(QUERY_MS, source.expectedWaitMs) : QUERY_MS;
  }

  @Override
  public void onSent(ListedEndpoint endpoint) {
    Deque<Unused> slots = unused.get(endpoint.id());
    if (slots != null) {
      slots.pollFirst();
    }
  }

  @Override
  public void onWaiting(Object request, String service, int rank) {
    waiting.put(request, new Waiting(service, rank));
  }

  private int unusedCount(String endpointId) {
    Deque<Unused> slots = unused.get(endpointId);
    if (slots == null) {
      return 0;
    }
    slots.removeIf(this::isExpired);
    return slots.size();
  }

  private boolean isExpired(Unused slot) {
    // A suspended process notices by the time of day only.
    return clock.nowMs() - slot.sinceMs() > UNUSED_MS
        || Math.abs(timeOfDay.nowMs() - slot.sinceTimeOfDayMs()) > 2 * UNUSED_MS;
  }

  @Override
  public void tick() {
    role.tick();
    assigner.tick();
    Set<String> limited = rejections.services();
    if (limited.isEmpty() && limitedSinceMs.isEmpty()) {
      waiting.clear();
      return;
    }
    long now = clock.nowMs();
    limited.forEach(service -> limitedSinceMs.putIfAbsent(service, now));
    limitedSinceMs.keySet().retainAll(limited);
    sources.keySet().removeIf(key -> !limited.contains(key.service()));
    limited.forEach(this::update);
    unused.values().removeIf(Deque::isEmpty);
    waiting.clear();
  }

  /** Asks for the slots that requests to a service wait for, and states those that are held. */
  private void update(String service) {
    Map<String, List<TrackedEndpoint>> byZone = new TreeMap<>();
    for (TrackedEndpoint endpoint : directory.ready(service)) {
      role.assigningZone(endpoint.listed().zone())
          .ifPresent(zone -> byZone.computeIfAbsent(zone, z -> new ArrayList<>()).add(endpoint));
    }
    int need = 0;
    int rank = Integer.MAX_VALUE;
    for (Waiting request : waiting.values()) {
      if (request.service().equals(service)) {
        need++;
        rank = Math.min(rank, request.rank());
      }
    }
    for (List<TrackedEndpoint> endpoints : byZone.values()) {
      need -= endpoints.stream().mapToInt(e -> unusedCount(e.listed().id())).sum();
    }
    String ownZone = members.zone();
    if (need > 0) {
      boolean full = !byZone.containsKey(ownZone) || !askOwnZone(service, byZone, need, rank);
      if (full) {
        askOtherZone(service, byZone, need, rank);
      }
    }
    boolean withdraws = need <= 0;
    byZone.forEach((zone, endpoints) -> stateHeld(service, zone, endpoints, withdraws));
  }

  /** Asks the assigner of this VM's zone; returns whether slots can still be expected at once. */
  private boolean askOwnZone(
      String service, Map<String, List<TrackedEndpoint>> byZone, int need, int rank) {
    Source source = source(service, members.zone());
    int wanted = Math.min(MAX_WANTED, need);
    boolean more = wanted > source.askedWanted || rank < source.askedRank;
    long now = clock.nowMs();
    if (now >= source.nextAskMs && (!source.isAsking() || more)) {
      boolean asked = ask(service, members.zone(), byZone, wanted, rank, WAIT_MS);
      return asked && (source.isAsking() || unusedOf(byZone.get(members.zone())) > 0);
    }
    return source.isAsking() && now - source.askedMs < HELD_MS;
  }

  private int unusedOf(List<TrackedEndpoint> endpoints) {
    return endpoints.stream().mapToInt(e -> unusedCount(e.listed().id())).sum();
  }

  private void askOtherZone(
      String service, Map<String, List<TrackedEndpoint>> byZone, int need, int rank) {
    List<String> zones = new ArrayList<>(byZone.keySet());
    zones.remove(members.zone());
    if (zones.stream().anyMatch(zone -> source(service, zone).isAsking())) {
      return;
    }
    Collections.shuffle(zones, random);
    long now = clock.nowMs();
    for (String zone : zones) {
      if (now >= source(service, zone).nextAskMs
          && ask(service, zone, byZone, Math.min(MAX_WANTED_ELSEWHERE, need), rank, 0)) {
        return;
      }
    }
  }

  private Source source(String service, String zone) {
    return sources.computeIfAbsent(new SourceKey(service, zone), key -> new Source());
  }

  /** Asks for slots; returns whether there is a VM to ask. */
  private boolean ask(
      String service,
      String zone,
      Map<String, List<TrackedEndpoint>> byZone,
      int wanted,
      int rank,
      long waitMs) {
    Optional<String> vm = role.assigner(zone, service);
    if (vm.isEmpty()) {
      return false;
    }
    Source source = source(service, zone);
    SlotAssignmentQuery.Builder query =
        newQuery(service, source, held(byZone.get(zone)))
            .setWanted(wanted)
            .setRank(rank)
            .setWaitMs(waitMs);
    for (TrackedEndpoint endpoint : byZone.get(zone)) {
      if (endpoint.failures(clock.nowMs()) >= SlotAssigner.MAX_FAILURES
          || !usable.test(endpoint.listed())) {
        query.addUnusable(endpoint.listed().id());
      }
    }
    source.askNumber = query.getNumber();
    source.askedMs = clock.nowMs();
    source.askedWanted = wanted;
    source.askedRank = rank;
    source.unanswered.add(query.getNumber());
    send(vm.get(), zone, source, query.build());
    return true;
  }

  private void stateHeld(
      String service, String zone, List<TrackedEndpoint> endpoints, boolean withdraws) {
    Source source = source(service, zone);
    Map<String, Integer> held = held(endpoints);
    boolean asksInVain = withdraws && source.isAsking() && source.askedWanted > 0;
    if (held.isEmpty() && source.stated.isEmpty() && !asksInVain) {
      return;
    }
    Optional<String> vm = role.assigner(zone, service);
    if (vm.isEmpty()) {
      return;
    }
    long now = clock.nowMs();
    boolean fewer =
        source.stated.entrySet().stream()
            .anyMatch(entry -> held.getOrDefault(entry.getKey(), 0) < entry.getValue());
    if (asksInVain
        || fewer
        || !vm.get().equals(source.assigner)
        || now - source.statedMs >= REPEAT_MS) {
      source.askedWanted = asksInVain ? 0 : source.askedWanted;
      send(
          vm.get(), zone, source, newQuery(service, source, held).setWithdraws(asksInVain).build());
    }
  }

  private Map<String, Integer> held(List<TrackedEndpoint> endpoints) {
    long now = clock.nowMs();
    Map<String, Integer> held = new HashMap<>();
    for (TrackedEndpoint endpoint : endpoints) {
      String id = endpoint.listed().id();
      int count = endpoint.occupiedSlots(now) + unusedCount(id);
      if (count > 0) {
        held.put(id, count);
      }
    }
    return held;
  }

  private SlotAssignmentQuery.Builder newQuery(
      String service, Source source, Map<String, Integer> held) {
    lastNumber++;
    source.stated = held;
    source.statedMs = clock.nowMs();
    SlotAssignmentQuery.Builder query =
        SlotAssignmentQuery.newBuilder()
            .setSender(members.self())
            .setEpoch(epoch)
            .setNumber(lastNumber)
            .addAllUnanswered(source.unanswered)
            .setService(service);
    held.forEach(
        (endpoint, count) ->
            query.addHeld(HeldSlots.newBuilder().setEndpoint(endpoint).setCount(count)));
    return query;
  }

  private void send(String vm, String zone, Source source, SlotAssignmentQuery query) {
    source.assigner = vm;
    if (vm.equals(members.self())) {
      assigner.onQuery(query, reply -> onReply(vm, zone, source, query, Optional.of(reply)));
      return;
    }
    long sentMs = clock.nowMs();
    long sentTimeOfDayMs = timeOfDay.nowMs();
    long timeoutMs = query.getWaitMs() + TIMEOUT_MS;
    peers.querySlots(
        vm,
        query,
        timeoutMs,
        reply -> {
          if (reply.isPresent()) {
            source.heardMs = clock.nowMs();
          } else if (source.heardMs < sentMs) {
            role.suspect(vm);
          }
          // After a pause, the slots of a reply may have been assigned to another VM.
          boolean timely =
              clock.nowMs() - sentMs <= timeoutMs
                  && Math.abs(timeOfDay.nowMs() - sentTimeOfDayMs) <= timeoutMs;
          onReply(vm, zone, source, query, reply.filter(r -> timely));
        });
  }

  private void onReply(
      String vm,
      String zone,
      Source source,
      SlotAssignmentQuery query,
      Optional<SlotAssignment> reply) {
    long now = clock.nowMs();
    source.unanswered.remove(query.getNumber());
    if (reply.isEmpty()) {
      // A lost reply may have assigned slots, so that there are fewer than the assigner counts.
      source.stated = Map.of("", 1);
      return;
    }
    if (!reply.get().getAssigns()) {
      source.nextAskMs = now + REFUSED_MS;
      String other = reply.get().getAssigner();
      if (!other.isEmpty() && !other.equals(vm)) {
        role.trust(other, zone);
      }
      if (other.isEmpty() || role.ranked(zone, query.getService()).indexOf(vm) == 0) {
        role.suspect(vm);
      }
      return;
    }
    if (reply.get().getEndpointsCount() > 0) {
      // The assigner counts these slots from now on.
      source.stated = new HashMap<>(source.stated);
    }
    for (String id : reply.get().getEndpointsList()) {
      unused
          .computeIfAbsent(id, key -> new ArrayDeque<>())
          .addLast(new Unused(now, timeOfDay.nowMs()));
      source.stated.merge(id, 1, Integer::sum);
    }
    if (reply.get().getEndpointsCount() > 0) {
      onAssigned.run();
    }
    if (query.getWanted() > 0 && query.getNumber() == source.askNumber) {
      boolean full = reply.get().getEndpointsCount() == 0;
      source.expectedWaitMs = reply.get().getExpectedWaitMs();
      source.expectedAtMs = now;
      boolean held = query.getWaitMs() > 0;
      source.nextAskMs = full && !held ? now + FULL_ZONE_MS + random.nextInt(100) : now;
    }
  }
}
