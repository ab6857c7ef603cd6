package org.zinniaspan.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.zinniaspan.peer.proto.Heartbeat;
import org.zinniaspan.peer.proto.MemberEntry;

/**
 * Writes the table into heartbeats whose size grows slowly with the number of VMs.
 *
 * <p>Up to {@link #MAX_ENTRIES} members are written in full: first those that changed, then the
 * others in turn. The rest are written as key and counter. Not thread-safe.
 */
final class HeartbeatWriter {

  /** Most members that a heartbeat holds in full, beside the sender. */
  static final int MAX_ENTRIES = 8;

  private static final int ENTRIES_IN_TURN = 2;
  private static final long RECENT_MS = 3_000;

  private int next;

  Heartbeat.Builder write(MemberEntry self, List<MemberRow> live, long nowMs) {
    Set<MemberRow> full = chooseFull(live, nowMs);
    Heartbeat.Builder heartbeat = Heartbeat.newBuilder().addEntries(self);
    for (MemberRow row : live) {
      if (full.contains(row)) {
        heartbeat.addEntries(row.entry());
      } else {
        heartbeat.addDigestKeys(row.key()).addDigestHeartbeats(row.heartbeat());
      }
    }
    return heartbeat;
  }

  private Set<MemberRow> chooseFull(List<MemberRow> live, long nowMs) {
    if (live.size() <= MAX_ENTRIES) {
      return Set.copyOf(live);
    }
    List<MemberRow> recent = new ArrayList<>(live);
    recent.removeIf(row -> nowMs - row.changedMs() > RECENT_MS);
    recent.sort(Comparator.comparingLong(MemberRow::changedMs).reversed());
    Set<MemberRow> full = new LinkedHashSet<>();
    recent.stream().limit(MAX_ENTRIES - ENTRIES_IN_TURN).forEach(full::add);
    for (int i = 0; i < ENTRIES_IN_TURN; i++) {
      full.add(live.get(Math.floorMod(next++, live.size())));
    }
    return full;
  }
}
