package org.zinniaspan.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.zinniaspan.peer.proto.Heartbeat;
import org.zinniaspan.peer.proto.MemberEntry;

/**
 * What this process knows of the other VMs of its availability zone.
 *
 * <p>A higher incarnation replaces a lower one at once, and lower ones are ignored. A VM that is
 * only heard of through others is live from the first rise of its counter. Not thread-safe.
 */
final class MemberTable {

  /** Time for which a VM that is not live is remembered, in milliseconds. */
  static final long RETENTION_MS = 600_000;

  private static final long UNCONFIRMED_AGE_MS = 60_000;
  private static final int UNSCALED_ZONE_VMS = 8;

  private final Map<String, MemberRow> rows = new TreeMap<>();
  private final Map<Integer, MemberRow> byDigestKey = new HashMap<>();
  private final String self;
  private final GossipSettings settings;

  MemberTable(String self, GossipSettings settings) {
    this.self = self;
    this.settings = settings;
  }

  /**
   * Returns the milliseconds without a risen counter after which a VM is not live.
   *
   * <p>Counters reach all members of a large zone later, so each doubling beyond eight VMs adds a
   * period.
   */
  long deadAfterMs() {
    int doublings = 0;
    for (int size = UNSCALED_ZONE_VMS; size < rows.size() + 1; size *= 2) {
      doublings++;
    }
    return settings.deadAfterMs() + doublings * settings.periodMs();
  }

  /** Takes over a heartbeat that came from the VM of the given name. */
  void merge(String from, Heartbeat heartbeat, long nowMs) {
    for (MemberEntry entry : heartbeat.getEntriesList()) {
      if (!entry.getVm().equals(self)) {
        merge(entry, entry.getVm().equals(from), nowMs);
      }
    }
    mergeDigest(heartbeat, nowMs);
  }

  private void merge(MemberEntry entry, boolean direct, long nowMs) {
    MemberRow row = rows.get(entry.getVm());
    if (row == null) {
      long lastIncreaseMs = direct ? nowMs : nowMs - UNCONFIRMED_AGE_MS;
      put(new MemberRow(entry, lastIncreaseMs, nowMs));
    } else if (entry.getIncarnation() > row.incarnation()) {
      byDigestKey.remove(row.digestKey());
      put(new MemberRow(entry, nowMs, nowMs));
    } else if (entry.getIncarnation() == row.incarnation()) {
      row.update(entry, nowMs);
    }
  }

  private void put(MemberRow row) {
    rows.put(row.vm(), row);
    byDigestKey.put(row.digestKey(), row);
  }

  private void mergeDigest(Heartbeat heartbeat, long nowMs) {
    int count = Math.min(heartbeat.getDigestKeysCount(), heartbeat.getDigestHeartbeatsCount());
    for (int i = 0; i < count; i++) {
      MemberRow row = byDigestKey.get(heartbeat.getDigestKeys(i));
      if (row != null) {
        row.increaseCounter(heartbeat.getDigestHeartbeats(i), nowMs);
      }
    }
  }

  /** Returns the live VMs in order of name. */
  List<MemberRow> live(long nowMs) {
    long deadAfterMs = deadAfterMs();
    return rows.values().stream().filter(row -> row.isLive(nowMs, deadAfterMs)).toList();
  }

  /** Returns when a VM stopped or will stop to be live, if its counter rises no more. */
  Optional<Long> expiryMs(String vm) {
    return row(vm).map(row -> row.lastIncreaseMs() + deadAfterMs() + 1);
  }

  Optional<MemberRow> row(String vm) {
    return Optional.ofNullable(rows.get(vm));
  }

  /** Gives the named VMs the time to be heard of again after a pause of this process. */
  void restartTimeouts(Collection<String> vms, long nowMs) {
    vms.forEach(vm -> row(vm).ifPresent(row -> row.restartTimeout(nowMs)));
  }

  void removeExpired(long nowMs) {
    rows.values().removeIf(row -> nowMs - row.lastIncreaseMs() > RETENTION_MS);
    byDigestKey.values().removeIf(row -> rows.get(row.vm()) != row);
  }
}
