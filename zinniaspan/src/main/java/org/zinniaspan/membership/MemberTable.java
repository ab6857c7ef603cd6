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
 * The state of the other VMs of the availability zone, as known to this process.
 *
 * <p>A higher incarnation replaces a lower one at once; entries of lower incarnations are ignored.
 * A VM that is known only from heartbeats of other VMs becomes live with the first increase of its
 * heartbeat counter. Not thread-safe.
 */
final class MemberTable {

  /** Time after the last increase of its counter, in milliseconds, for which a VM is kept. */
  static final long RETENTION_MS = 600_000;

  /**
   * Initial age, in milliseconds, of the counter of a VM that is known only from other VMs.
   *
   * <p>Longer than the default failure timeout, so that the VM is not live until its counter
   * increases.
   */
  private static final long UNCONFIRMED_AGE_MS = 60_000;

  /** Number of VMs up to which the failure timeout is not extended. */
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
   * Returns the failure timeout: the milliseconds without an increase of the heartbeat counter
   * after which a VM is no longer live.
   *
   * <p>Counters take longer to reach all members of a large zone, so each started doubling beyond
   * eight VMs adds one heartbeat period.
   */
  long deadAfterMs() {
    int doublings = 0;
    for (int size = UNSCALED_ZONE_VMS; size < rows.size() + 1; size *= 2) {
      doublings++;
    }
    return settings.deadAfterMs() + doublings * settings.periodMs();
  }

  /** Merges a heartbeat sent by the VM of the given name. */
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

  /** Returns the live VMs in name order. */
  List<MemberRow> live(long nowMs) {
    long deadAfterMs = deadAfterMs();
    return rows.values().stream().filter(row -> row.isLive(nowMs, deadAfterMs)).toList();
  }

  /** Returns when the failure timeout of a VM expires, or expired; empty if the VM is not known. */
  Optional<Long> expiryMs(String vm) {
    return row(vm).map(row -> row.lastIncreaseMs() + deadAfterMs() + 1);
  }

  Optional<MemberRow> row(String vm) {
    return Optional.ofNullable(rows.get(vm));
  }

  /**
   * Restarts the failure timeouts of the named VMs after a pause of this process, so that their
   * next heartbeats can arrive in time.
   */
  void restartTimeouts(Collection<String> vms, long nowMs) {
    vms.forEach(vm -> row(vm).ifPresent(row -> row.restartTimeout(nowMs)));
  }

  /** Removes the VMs whose counter has not increased for {@link #RETENTION_MS}. */
  void removeExpired(long nowMs) {
    rows.values().removeIf(row -> nowMs - row.lastIncreaseMs() > RETENTION_MS);
    byDigestKey.values().removeIf(row -> rows.get(row.vm()) != row);
  }
}
