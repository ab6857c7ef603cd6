package org.zinniaspan.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.PauseDetector;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.inventory.VmEntry;
import org.zinniaspan.inventory.VmList;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.peer.PeerHandler;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.Heartbeat;
import org.zinniaspan.peer.proto.MemberEntry;

/**
 * Membership from a gossip failure detector: a VM is live while its heartbeat counter increases.
 *
 * <p>The platform's list of VMs supplies the addresses of VMs to probe, and a VM that it marks as
 * leaving is treated as leaving. State is guarded by this object's lock; messages are sent without
 * holding it.
 */
public final class GossipMembership implements Membership, Ticking, PeerHandler {

  /** Longest gap between two ticks, in milliseconds, that is not treated as a process pause. */
  public static final long MAX_TICK_GAP_MS = 1_000;

  /** Heartbeat periods from one probe of a listed VM that is not live to the next. */
  private static final int PERIODS_PER_PROBE = 2;

  private final String zone;
  private final GossipSettings settings;
  private final Supplier<VmList> vmList;
  private final Clock clock;
  private final PauseDetector pauses;
  private final MemberTable table;
  private final GossipTargets targets;
  private final HeartbeatWriter writer = new HeartbeatWriter();
  private PeerLink link = (vm, message) -> {};
  private Consumer<Heartbeat.Builder> heartbeatExtension = heartbeat -> {};
  private Member self;
  private List<Member> live;
  private long changedAtMs;
  private long timeoutsRestartedMs;
  private long heartbeatCounter;
  private long nextHeartbeatMs;
  private boolean superseded;
  private VmList lastVmList = new VmList(0, List.of());
  private Set<String> listedLeaving = Set.of();

  /**
   * Creates a membership view that contains only this process.
   *
   * @param self this process
   * @param zone its availability zone
   * @param settings heartbeat period, failure timeout, fan-out and random seed
   * @param vmList the platform's list of VMs
   * @param clock source of time
   */
  public GossipMembership(
      Member self, String zone, GossipSettings settings, Supplier<VmList> vmList, Clock clock) {
    this.self = self;
    this.zone = zone;
    this.settings = settings;
    this.vmList = vmList;
    this.clock = clock;
    this.pauses = new PauseDetector(clock, MAX_TICK_GAP_MS);
    this.table = new MemberTable(self.vm(), settings);
    this.targets = new GossipTargets(self.vm(), zone, settings.fanOut(), settings.seed());
    this.live = List.of(self);
    this.changedAtMs = clock.nowMs();
    this.timeoutsRestartedMs = clock.nowMs();
    this.nextHeartbeatMs = clock.nowMs();
  }

  /**
   * Starts sending heartbeats over the given link; until then they are discarded.
   *
   * @param peerLink link that sends the heartbeats
   * @param extension adds the fields of other components to each heartbeat
   */
  public synchronized void connect(PeerLink peerLink, Consumer<Heartbeat.Builder> extension) {
    link = peerLink;
    heartbeatExtension = extension;
  }

  @Override
  public synchronized Member self() {
    return self;
  }

  @Override
  public synchronized List<Member> live() {
    refresh(clock.nowMs());
    return live;
  }

  @Override
  public synchronized long changedAtMs() {
    refresh(clock.nowMs());
    return changedAtMs;
  }

  @Override
  public synchronized boolean isSettled() {
    long now = clock.nowMs();
    refresh(now);
    return !superseded && now - timeoutsRestartedMs > table.deadAfterMs() + settings.periodMs();
  }

  @Override
  public synchronized Optional<String> addressOf(String vm) {
    Optional<MemberRow> known = table.row(vm);
    boolean isLive =
        known.filter(row -> row.isLive(clock.nowMs(), table.deadAfterMs())).isPresent();
    Optional<String> listed = listedEntry(vm).map(VmEntry::address);
    return isLive || listed.isEmpty() ? known.map(MemberRow::address) : listed;
  }

  private Optional<VmEntry> listedEntry(String vm) {
    return vmList.get().vms().stream()
        .filter(entry -> entry.isEntry() && entry.name().equals(vm))
        .findFirst();
  }

  /** Announces to other members that this process is leaving; further calls have no effect. */
  public void leave() {
    List<String> all;
    synchronized (this) {
      if (self.leaving()) {
        return;
      }
      self = new Member(self.vm(), self.incarnation(), self.address(), true);
      refresh(clock.nowMs());
      all = otherLiveNames();
    }
    EventLog.event("membership-leaving").with("vm", self().vm()).info();
    send(all.subList(0, Math.min(all.size(), HeartbeatWriter.MAX_FULL_ENTRIES)), false);
  }

  @Override
  public void tick() {
    List<String> heartbeatTargets = List.of();
    Optional<String> probeTarget = Optional.empty();
    synchronized (this) {
      long now = clock.nowMs();
      refresh(now);
      if (now >= nextHeartbeatMs) {
        nextHeartbeatMs = now + settings.periodMs();
        heartbeatCounter++;
        table.removeExpired(now);
        heartbeatTargets = targets.heartbeatTargets(otherLiveNames());
        probeTarget =
            heartbeatCounter % PERIODS_PER_PROBE == 1
                ? targets.probeTarget(vmList.get(), otherLiveNames())
                : probeTarget;
      }
    }
    send(heartbeatTargets, false);
    send(probeTarget.stream().toList(), true);
  }

  private List<String> otherLiveNames() {
    return live.stream().map(Member::vm).filter(vm -> !vm.equals(self.vm())).toList();
  }

  private void send(List<String> vms, boolean replyWanted) {
    if (vms.isEmpty()) {
      return;
    }
    Heartbeat.Builder heartbeat;
    PeerLink peerLink;
    Consumer<Heartbeat.Builder> extension;
    synchronized (this) {
      long now = clock.nowMs();
      heartbeat = writer.write(ownEntry(), table.live(now), now).setReplyWanted(replyWanted);
      peerLink = link;
      extension = heartbeatExtension;
    }
    extension.accept(heartbeat);
    vms.forEach(vm -> peerLink.send(vm, Envelope.newBuilder().setHeartbeat(heartbeat)));
  }

  private MemberEntry ownEntry() {
    return MemberEntry.newBuilder()
        .setVm(self.vm())
        .setIncarnation(self.incarnation())
        .setHeartbeat(heartbeatCounter)
        .setLeaving(self.leaving())
        .setAddress(self.address())
        .build();
  }

  @Override
  public void handle(Envelope message) {
    Heartbeat heartbeat = message.getHeartbeat();
    if (heartbeat.getEntriesCount() == 0) {
      return;
    }
    synchronized (this) {
      long now = clock.nowMs();
      refresh(now);
      detectSuccessor(heartbeat);
      table.merge(message.getFromVm(), heartbeat, now);
      refresh(now);
    }
    if (heartbeat.getReplyWanted()) {
      send(List.of(message.getFromVm()), false);
    }
  }

  /** Detects that another process with a higher incarnation runs under the name of this VM. */
  private void detectSuccessor(Heartbeat heartbeat) {
    for (MemberEntry entry : heartbeat.getEntriesList()) {
      if (entry.getVm().equals(self.vm()) && entry.getIncarnation() > self.incarnation()) {
        if (!superseded) {
          EventLog.event("membership-superseded").with("by", entry.getIncarnation()).warn();
        }
        superseded = true;
      }
    }
  }

  private void refresh(long nowMs) {
    if (pauses.observe()) {
      table.restartTimeouts(otherLiveNames(), nowMs);
      timeoutsRestartedMs = nowMs;
      EventLog.event("membership-paused").with("vm", self.vm()).warn();
    }
    updateListedLeaving(vmList.get());
    List<Member> next = new ArrayList<>();
    next.add(
        new Member(
            self.vm(),
            self.incarnation(),
            self.address(),
            self.leaving() || listedLeaving.contains(self.vm())));
    table.live(nowMs).forEach(row -> next.add(row.toMember(listedLeaving.contains(row.vm()))));
    next.sort(Comparator.comparing(Member::vm));
    if (!next.equals(live)) {
      changedAtMs = changeTimeMs(next, nowMs);
      logChange(live, next);
      live = List.copyOf(next);
    }
  }

  private void updateListedLeaving(VmList listed) {
    if (listed != lastVmList) {
      lastVmList = listed;
      listedLeaving =
          listed.vms().stream()
              .filter(VmEntry::isLeaving)
              .map(VmEntry::name)
              .collect(Collectors.toSet());
    }
  }

  /**
   * Returns the time of a change of the live members.
   *
   * <p>If members were only removed, this is the latest expiry of their failure timeouts, which may
   * lie before the call that notices the change.
   */
  private long changeTimeMs(List<Member> next, long nowMs) {
    Set<Member> removed = new HashSet<>(live);
    next.forEach(removed::remove);
    if (!live.containsAll(next)) {
      return nowMs;
    }
    return removed.stream()
        .flatMap(member -> table.expiryMs(member.vm()).stream())
        .mapToLong(Long::longValue)
        .max()
        .orElse(nowMs);
  }

  private void logChange(List<Member> before, List<Member> after) {
    EventLog.event("membership")
        .with("zone", zone)
        .with("live", after.size())
        .with("joined", namesNotIn(after, before))
        .with("left", namesNotIn(before, after))
        .with("changedAtMs", changedAtMs)
        .info();
  }

  private static List<String> namesNotIn(List<Member> members, List<Member> others) {
    Set<Member> rest = new LinkedHashSet<>(members);
    others.forEach(rest::remove);
    return rest.stream()
        .map(member -> member.vm() + (member.leaving() ? " (leaving)" : ""))
        .toList();
  }
}
