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
 * Membership by gossip: a VM is live while its heartbeat counter rises.
 *
 * <p>The platform's list gives addresses of VMs to try, and VMs that it calls leaving are treated
 * so. State is guarded by this object's lock; messages are sent outside of it.
 */
public final class GossipMembership implements Membership, Ticking, PeerHandler {

  /** Longest gap between two ticks, in milliseconds, that does not count as a pause. */
  public static final long MAX_GAP_MS = 1_000;

  private static final int PERIODS_PER_SILENT = 2;

  private final String zone;
  private final GossipSettings settings;
  private final Supplier<VmList> list;
  private final Clock clock;
  private final PauseDetector pauses;
  private final MemberTable table;
  private final GossipTargets targets;
  private final HeartbeatWriter writer = new HeartbeatWriter();
  private PeerLink link = (vm, message) -> {};
  private Consumer<Heartbeat.Builder> extension = heartbeat -> {};
  private Member self;
  private List<Member> live;
  private long changedAtMs;
  private long renewedFromMs;
  private long counter;
  private long nextPeriodMs;
  private boolean superseded;
  private VmList lastList = new VmList(0, List.of());
  private Set<String> listedLeaving = Set.of();

  /**
   * Creates a view that holds only this process.
   *
   * @param self this process
   * @param zone its availability zone
   * @param settings periods and fan-out
   * @param list the platform's list of VMs
   * @param clock source of time
   */
  public GossipMembership(
      Member self, String zone, GossipSettings settings, Supplier<VmList> list, Clock clock) {
    this.self = self;
    this.zone = zone;
    this.settings = settings;
    this.list = list;
    this.clock = clock;
    this.pauses = new PauseDetector(clock, MAX_GAP_MS);
    this.table = new MemberTable(self.vm(), settings);
    this.targets = new GossipTargets(self.vm(), zone, settings.fanOut(), settings.seed());
    this.live = List.of(self);
    this.changedAtMs = clock.nowMs();
    this.renewedFromMs = clock.nowMs();
    this.nextPeriodMs = clock.nowMs();
  }

  /**
   * Begins to send.
   *
   * @param peers carries the heartbeats
   * @param added adds fields of other parts to each heartbeat
   */
  public synchronized void connect(PeerLink peers, Consumer<Heartbeat.Builder> added) {
    link = peers;
    extension = added;
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
    return !superseded && now - renewedFromMs > table.deadAfterMs() + settings.periodMs();
  }

  @Override
  public synchronized Optional<String> addressOf(String vm) {
    Optional<MemberRow> heard = table.row(vm);
    boolean isLive =
        heard.filter(row -> row.isLive(clock.nowMs(), table.deadAfterMs())).isPresent();
    Optional<String> listed = listed(vm).map(VmEntry::address);
    return isLive || listed.isEmpty() ? heard.map(MemberRow::address) : listed;
  }

  private Optional<VmEntry> listed(String vm) {
    return list.get().vms().stream()
        .filter(entry -> entry.isEntry() && entry.name().equals(vm))
        .findFirst();
  }

  /** Tells the other members that this process leaves; a second call does nothing. */
  public void leave() {
    List<String> all;
    synchronized (this) {
      if (self.leaving()) {
        return;
      }
      self = new Member(self.vm(), self.incarnation(), self.address(), true);
      refresh(clock.nowMs());
      all = others();
    }
    EventLog.event("membership-leaving").with("vm", self().vm()).info();
    send(all.subList(0, Math.min(all.size(), HeartbeatWriter.MAX_ENTRIES)), false);
  }

  @Override
  public void tick() {
    List<String> due = List.of();
    Optional<String> silent = Optional.empty();
    synchronized (this) {
      long now = clock.nowMs();
      refresh(now);
      if (now >= nextPeriodMs) {
        nextPeriodMs = now + settings.periodMs();
        counter++;
        table.forgetOld(now);
        due = targets.ofPeriod(others());
        silent = counter % PERIODS_PER_SILENT == 1 ? targets.silent(list.get(), others()) : silent;
      }
    }
    send(due, false);
    send(silent.stream().toList(), true);
  }

  private List<String> others() {
    return live.stream().map(Member::vm).filter(vm -> !vm.equals(self.vm())).toList();
  }

  private void send(List<String> vms, boolean replyWanted) {
    if (vms.isEmpty()) {
      return;
    }
    Heartbeat.Builder heartbeat;
    PeerLink peers;
    Consumer<Heartbeat.Builder> added;
    synchronized (this) {
      long now = clock.nowMs();
      heartbeat = writer.write(ownEntry(), table.live(now), now).setReplyWanted(replyWanted);
      peers = link;
      added = extension;
    }
    added.accept(heartbeat);
    vms.forEach(vm -> peers.send(vm, Envelope.newBuilder().setHeartbeat(heartbeat)));
  }

  private MemberEntry ownEntry() {
    return MemberEntry.newBuilder()
        .setVm(self.vm())
        .setIncarnation(self.incarnation())
        .setHeartbeat(counter)
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
      noticeSuccessor(heartbeat);
      table.merge(message.getFromVm(), heartbeat, now);
      refresh(now);
    }
    if (heartbeat.getReplyWanted()) {
      send(List.of(message.getFromVm()), false);
    }
  }

  private void noticeSuccessor(Heartbeat heartbeat) {
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
      table.renew(others(), nowMs);
      renewedFromMs = nowMs;
      EventLog.event("membership-paused").with("vm", self.vm()).warn();
    }
    readLeaving(list.get());
    List<Member> next = new ArrayList<>();
    next.add(
        new Member(
            self.vm(),
            self.incarnation(),
            self.address(),
            self.leaving() || listedLeaving.contains(self.vm())));
    table.live(nowMs).forEach(row -> next.add(row.member(listedLeaving.contains(row.vm()))));
    next.sort(Comparator.comparing(Member::vm));
    if (!next.equals(live)) {
      changedAtMs = changeTimeMs(next, nowMs);
      logChange(live, next);
      live = List.copyOf(next);
    }
  }

  private void readLeaving(VmList listed) {
    if (listed != lastList) {
      lastList = listed;
      listedLeaving =
          listed.vms().stream()
              .filter(VmEntry::isLeaving)
              .map(VmEntry::name)
              .collect(Collectors.toSet());
    }
  }

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
