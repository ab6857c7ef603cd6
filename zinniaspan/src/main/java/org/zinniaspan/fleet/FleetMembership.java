package org.zinniaspan.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.membership.RendezvousHash;
import org.zinniaspan.peer.proto.FleetMember;
import org.zinniaspan.peer.proto.FleetMembers;

/**
 * The VMs of the fleet, found through seed addresses and by gossip.
 *
 * <p>Each VM regularly exchanges the VMs that it knows, with the time since each was last heard of,
 * with one VM of its own availability zone and from time to time with another one. A VM that was
 * not heard of for {@value #LIVE_MS} ms is removed. Messages list all VMs of the sender's and the
 * receiver's zones and the first few in rank of each other zone, so that their size does not grow
 * with the number of zones. All times are elapsed times; a step of the time of day has no effect.
 * Not thread-safe.
 */
public final class FleetMembership implements Ticking {

  /** Time since a VM was last heard of after which it is removed, in milliseconds. */
  static final long LIVE_MS = 8_000;

  /** Interval between two exchanges with a VM of the own zone, in milliseconds. */
  private static final long GOSSIP_INTERVAL_MS = 1_000;

  /** Interval between two exchanges with any other VM, in milliseconds. */
  private static final long FAR_INTERVAL_MS = 4_000;

  /** Interval between two exchanges with a seed while few VMs are known, in milliseconds. */
  private static final long SEED_INTERVAL_MS = 500;

  /** Delay until another seed is asked when one did not reply, in milliseconds. */
  private static final long SEED_RETRY_MS = 300;

  /** Time after the start in which seeds are asked at the short interval, in milliseconds. */
  private static final long STARTING_MS = 3_000;

  /** Timeout of an exchange, in milliseconds. */
  private static final long TIMEOUT_MS = 400;

  /** Gap between two ticks that is taken for a pause of this process, in milliseconds. */
  private static final long MAX_TICK_GAP_MS = 1_000;

  /**
   * Role of the VM that speaks for its zone to those of other zones; VMs know at least the first in
   * rank for it of each zone.
   */
  static final String REPRESENTATIVE_ROLE = "zone-representative";

  /** Number of VMs of each other zone that a message lists, the first in rank. */
  private static final int MEMBERS_OF_OTHER_ZONES = 3;

  private static final class Row {
    private final String zone;
    private long heardMs;
    private boolean assignsSlots;

    Row(String zone, long heardMs) {
      this.zone = zone;
      this.heardMs = heardMs;
    }
  }

  private final String self;
  private final String zone;
  private final List<String> seeds;
  private final PeerClient peers;
  private final Clock clock;
  private final Random random;
  private final Map<String, Row> rows = new TreeMap<>();
  private final long startedMs;
  private long nextGossipMs;
  private long nextFarMs;
  private long nextSeedMs;
  private int nextSeed;
  private long lastTickMs;
  private boolean leaving;
  private boolean assignsSlots;

  /** What was worked out from the live VMs; it holds until one is found, lost or expires. */
  private final Map<String, List<String>> liveByZone = new HashMap<>();

  private List<String> liveZones = List.of();
  private int liveVms = 1;
  private long liveUntilMs = Long.MIN_VALUE;
  private long revision;

  /**
   * Creates a membership that knows only this VM.
   *
   * @param self peer address of this VM, as host:port
   * @param zone its availability zone
   * @param seeds peer addresses of a few VMs, which may be out of date; this VM may be among them
   */
  public FleetMembership(
      String self, String zone, List<String> seeds, PeerClient peers, Clock clock, Random random) {
    this.self = self;
    this.zone = zone;
    this.seeds = seeds.stream().filter(seed -> !seed.equals(self)).toList();
    this.peers = peers;
    this.clock = clock;
    this.random = random;
    this.startedMs = clock.nowMs();
    this.lastTickMs = clock.nowMs();
    this.nextSeed = random.nextInt(Math.max(1, seeds.size()));
  }

  /** Returns the peer address of this VM. */
  public String self() {
    return self;
  }

  /** Returns the availability zone of this VM. */
  public String zone() {
    return zone;
  }

  /** Returns the addresses of the live VMs of a zone, in order, this VM included. */
  public List<String> live(String ofZone) {
    updateLive();
    return liveByZone.getOrDefault(ofZone, List.of());
  }

  /** Returns a number that changes whenever the set of live VMs may have changed. */
  long revision() {
    updateLive();
    return revision;
  }

  private void updateLive() {
    long now = clock.nowMs();
    if (now <= liveUntilMs) {
      return;
    }
    revision++;
    liveUntilMs = Long.MAX_VALUE;
    liveVms = 1;
    Map<String, List<String>> found = new TreeMap<>();
    found.put(zone, new ArrayList<>());
    for (Map.Entry<String, Row> entry : rows.entrySet()) {
      Row row = entry.getValue();
      if (isLive(row)) {
        liveVms++;
        liveUntilMs = Math.min(liveUntilMs, row.heardMs + LIVE_MS);
        found.computeIfAbsent(row.zone, z -> new ArrayList<>()).add(entry.getKey());
      }
    }
    liveZones = List.copyOf(found.keySet());
    if (!leaving) {
      found.get(zone).add(self);
      found.get(zone).sort(null);
    }
    liveByZone.clear();
    found.forEach((name, addresses) -> liveByZone.put(name, List.copyOf(addresses)));
  }

  private void onLiveChanged() {
    liveUntilMs = Long.MIN_VALUE;
  }

  /** Returns whether there may be other VMs. */
  boolean hasSeeds() {
    return !seeds.isEmpty();
  }

  /** Announces that this VM can assign the slots of endpoints, which earlier releases cannot. */
  void announceSlotAssignment() {
    assignsSlots = true;
  }

  /** Returns whether a VM is known to be able to assign the slots of endpoints. */
  boolean canAssignSlots(String address) {
    if (address.equals(self)) {
      return assignsSlots;
    }
    return Optional.ofNullable(rows.get(address)).map(row -> row.assignsSlots).orElse(false);
  }

  /** Returns the share of the known live VMs that can assign slots, this one included. */
  double slotAssignmentShare() {
    long able = rows.values().stream().filter(row -> isLive(row) && row.assignsSlots).count();
    return (double) (able + (assignsSlots ? 1 : 0)) / liveCount();
  }

  /** Adds a VM that can assign slots, of which this VM heard in another way. */
  void addSlotAssigner(String address, String ofZone) {
    put(FleetMember.newBuilder().setAddress(address).setZone(ofZone).setAssignsSlots(true).build());
  }

  /** Returns the zones of the live VMs, in order, that of this VM included. */
  public List<String> zones() {
    updateLive();
    return liveZones;
  }

  /** Returns the number of live VMs, including this one. */
  public int liveCount() {
    updateLive();
    return liveVms;
  }

  /**
   * Returns the estimated number of VMs of all zones, including this one; of other zones only some
   * are known, so each counts like this one unless more are known.
   */
  public int estimatedCount() {
    return Math.max(liveCount(), live(zone).size() * zones().size());
  }

  private boolean isLive(Row row) {
    return clock.nowMs() - row.heardMs <= LIVE_MS;
  }

  /** Stops announcing this VM, so that the others give its roles to another one. */
  public void leave() {
    leaving = true;
    onLiveChanged();
  }

  @Override
  public void tick() {
    long now = clock.nowMs();
    excusePause(now);
    if (leaving) {
      return;
    }
    if (now >= nextGossipMs) {
      nextGossipMs = now + GOSSIP_INTERVAL_MS;
      removeExpired();
      pick(othersOfZone()).ifPresent(this::exchange);
    }
    if (now >= nextFarMs) {
      nextFarMs = now + FAR_INTERVAL_MS;
      pick(rows.keySet()).ifPresent(this::exchange);
    }
    if (now >= nextSeedMs && !seeds.isEmpty()) {
      boolean few = othersOfZone().isEmpty() || now - startedMs < STARTING_MS;
      nextSeedMs = now + (few ? SEED_INTERVAL_MS : 5 * FAR_INTERVAL_MS);
      exchangeWithSeed(seeds.get(Math.floorMod(nextSeed++, seeds.size())));
    }
  }

  /** Exchanges with a seed; if it does not reply, the next one is asked soon. */
  private void exchangeWithSeed(String seed) {
    peers.exchangeMembers(
        seed,
        message(zone),
        TIMEOUT_MS,
        reply -> {
          reply.ifPresent(this::merge);
          if (reply.isEmpty()) {
            nextSeedMs = Math.min(nextSeedMs, clock.nowMs() + SEED_RETRY_MS);
          }
        });
  }

  /** After a pause of this process, the other VMs get the time of the pause to be heard again. */
  private void excusePause(long now) {
    long gapMs = now - lastTickMs;
    lastTickMs = now;
    if (gapMs > MAX_TICK_GAP_MS && !rows.isEmpty()) {
      EventLog.event("fleet-paused").with("gapMs", gapMs).warn();
      rows.values().forEach(row -> row.heardMs = Math.min(now, row.heardMs + gapMs));
      onLiveChanged();
    }
  }

  private void removeExpired() {
    rows.entrySet()
        .removeIf(
            entry -> {
              boolean expired = !isLive(entry.getValue());
              if (expired && entry.getValue().zone.equals(zone)) {
                EventLog.event("fleet-vm-lost").with("vm", entry.getKey()).info();
              }
              return expired;
            });
  }

  private List<String> othersOfZone() {
    return live(zone).stream().filter(address -> !address.equals(self)).toList();
  }

  private Optional<String> pick(Collection<String> addresses) {
    return addresses.stream()
        .skip(addresses.isEmpty() ? 0 : random.nextInt(addresses.size()))
        .findFirst();
  }

  private void exchange(String address) {
    String itsZone = rows.containsKey(address) ? rows.get(address).zone : zone;
    peers.exchangeMembers(
        address, message(itsZone), TIMEOUT_MS, reply -> reply.ifPresent(this::merge));
  }

  /** Handles the message of another VM and returns the reply. */
  public FleetMembers onExchange(FleetMembers message) {
    merge(message);
    return message(message.getSender().getZone());
  }

  private void merge(FleetMembers message) {
    put(message.getSender());
    Optional.ofNullable(rows.get(message.getSender().getAddress()))
        .ifPresent(row -> row.assignsSlots = message.getSender().getAssignsSlots());
    message.getMembersList().forEach(this::put);
  }

  private void put(FleetMember member) {
    long age = Math.max(0, member.getAgeMs());
    if (member.getAddress().isEmpty() || member.getAddress().equals(self) || age > LIVE_MS) {
      return;
    }
    long heardMs = clock.nowMs() - age;
    Row row = rows.get(member.getAddress());
    if (row == null || !row.zone.equals(member.getZone())) {
      rows.put(member.getAddress(), new Row(member.getZone(), heardMs));
      onLiveChanged();
      if (member.getZone().equals(zone)) {
        EventLog.event("fleet-vm-found").with("vm", member.getAddress()).info();
      }
    } else {
      if (!isLive(row)) {
        onLiveChanged();
      }
      row.heardMs = Math.max(row.heardMs, heardMs);
    }
    // VMs of earlier releases pass members on without this.
    rows.get(member.getAddress()).assignsSlots |= member.getAssignsSlots();
  }

  /** Returns the message to a VM of the given zone. */
  private FleetMembers message(String receiverZone) {
    FleetMembers.Builder message = FleetMembers.newBuilder();
    if (!leaving) {
      message.setSender(
          FleetMember.newBuilder().setAddress(self).setZone(zone).setAssignsSlots(assignsSlots));
    } else {
      message.setSender(FleetMember.newBuilder().setZone(zone).setAgeMs(LIVE_MS + 1));
    }
    for (String listed : zones()) {
      List<String> addresses = new ArrayList<>(live(listed));
      addresses.remove(self);
      if (!listed.equals(zone) && !listed.equals(receiverZone)) {
        addresses = RendezvousHash.ranked(REPRESENTATIVE_ROLE, addresses, MEMBERS_OF_OTHER_ZONES);
      }
      addresses.forEach(address -> message.addMembers(entry(address)));
    }
    return message.build();
  }

  private FleetMember entry(String address) {
    Row row = rows.get(address);
    return FleetMember.newBuilder()
        .setAddress(address)
        .setZone(row.zone)
        .setAgeMs(Math.max(0, clock.nowMs() - row.heardMs))
        .setAssignsSlots(row.assignsSlots)
        .build();
  }
}
