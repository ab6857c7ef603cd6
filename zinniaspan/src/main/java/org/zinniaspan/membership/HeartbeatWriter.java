package org.zinniaspan.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.zinniaspan.peer.proto.Heartbeat;
import org.zinniaspan.peer.proto.MemberEntry;

/**
 * Encodes the member table as heartbeats whose size grows slowly with the number of VMs.
 *
 * <p>Up to {@link #MAX_FULL_ENTRIES} members are written as full entries: first those that changed
 * recently, then others in round-robin order. The rest are written as a digest of key and heartbeat
 * counter. Not thread-safe.
 */
final class HeartbeatWriter {

  /** Maximum number of full entries in a heartbeat, not counting that of the sender. */
  static final int MAX_FULL_ENTRIES = 8;

  /** Full entries reserved for members in round-robin order, whether or not they changed. */
  private static final int ROUND_ROBIN_ENTRIES = 2;

  /** Time after a change, in milliseconds, for which a member is written with priority. */
  private static final long RECENT_CHANGE_MS = 3_000;

  private int nextRoundRobinIndex;

  Heartbeat.Builder write(MemberEntry self, List<MemberRow> live, long nowMs) {
    Set<MemberRow> full = chooseFull(live, nowMs);
    Heartbeat.Builder heartbeat = Heartbeat.newBuilder().addEntries(self);
    for (MemberRow row : live) {
      if (full.contains(row)) {
        heartbeat.addEntries(row.toEntry());
      } else {
        heartbeat.addDigestKeys(row.digestKey()).addDigestHeartbeats(row.heartbeatCounter());
      }
    }
    return heartbeat;
  }

  private Set<MemberRow> chooseFull(List<MemberRow> live, long nowMs) {
    if (live.size() <= MAX_FULL_ENTRIES) {
      return Set.copyOf(live);
    }
    List<MemberRow> recent = new ArrayList<>(live);
    recent.removeIf(row -> nowMs - row.changedMs() > RECENT_CHANGE_MS);
    recent.sort(Comparator.comparingLong(MemberRow::changedMs).reversed());
    Set<MemberRow> full = new LinkedHashSet<>();
    recent.stream().limit(MAX_FULL_ENTRIES - ROUND_ROBIN_ENTRIES).forEach(full::add);
    for (int i = 0; i < ROUND_ROBIN_ENTRIES; i++) {
      full.add(live.get(Math.floorMod(nextRoundRobinIndex++, live.size())));
    }
    return full;
  }
}
