package org.zinniaspan.forwarding;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.zinniaspan.log.EventLog;

/**
 * The availability zones to whose endpoints the operators want nothing more to be sent.
 *
 * <p>The state is that of a revision of the platform's store, and only a state of a later revision
 * replaces it. So what another VM knows never overrides newer knowledge, and the last known state
 * holds while nobody reads the store. Not thread-safe.
 */
public final class EvacuatedZones {

  private Set<String> zones = Set.of();

  /** Revision at which the state is complete. */
  private StoreRevision revision = StoreRevision.NONE;

  /** Revision of the newest change that was applied, which may be later. */
  private StoreRevision newestChange = StoreRevision.NONE;

  /** Revisions between which the watch returned all changes. */
  private StoreRevision watchedFrom = StoreRevision.NONE;

  private StoreRevision watchedTo = StoreRevision.NONE;

  /** Returns whether a complete state was read, by this VM or another one. */
  public boolean isKnown() {
    return !revision.equals(StoreRevision.NONE);
  }

  /** Returns whether nothing may be sent to the endpoints of an availability zone. */
  public boolean contains(String zone) {
    return zones.contains(zone);
  }

  /** Returns the evacuated availability zones. */
  public Set<String> zones() {
    return zones;
  }

  /** Returns the revision of the platform's store at which the state is complete. */
  public StoreRevision revision() {
    return revision;
  }

  /**
   * Adopts a complete state, unless the known one is as new.
   *
   * @param evacuated all evacuated zones
   * @param at revision of the platform's store at which they were
   * @param source where the state comes from, for logs
   */
  public void adopt(Set<String> evacuated, StoreRevision at, String source) {
    if (at.compareTo(revision) > 0 && at.compareTo(newestChange) >= 0) {
      replace(evacuated, at, source);
      revision = at;
      advance();
    }
  }

  /**
   * Adds zones from a read of a store that was restored from a copy, which may lack others until
   * they are written again.
   */
  void add(Set<String> evacuated, StoreRevision at) {
    Set<String> all = new HashSet<>(zones);
    all.addAll(evacuated);
    replace(all, at, "restored store");
  }

  /**
   * Applies changes that a watch returned.
   *
   * @param changes changes in order
   * @param after revision from which the watch started; if the state is older, changes between them
   *     may be missing, and the state is complete only after the next read
   * @param at revision up to which the watch returned all changes
   */
  void apply(List<ZoneEvacuation> changes, StoreRevision after, StoreRevision at) {
    Set<String> changed = new HashSet<>(zones);
    for (ZoneEvacuation change : changes) {
      if (change.revision().compareTo(revision) > 0
          && change.revision().compareTo(newestChange) > 0) {
        newestChange = change.revision();
        if (change.evacuated()) {
          changed.add(change.zone());
        } else {
          changed.remove(change.zone());
        }
      }
    }
    replace(changed, at, "watch");
    if (!after.equals(watchedTo)) {
      watchedFrom = after;
    }
    watchedTo = at;
    advance();
  }

  /** Counts the state as complete up to the end of the watch if that covers all later changes. */
  private void advance() {
    if (isKnown() && watchedFrom.compareTo(revision) <= 0 && watchedTo.compareTo(revision) > 0) {
      revision = watchedTo;
    }
  }

  private void replace(Set<String> evacuated, StoreRevision at, String source) {
    if (evacuated.equals(zones)) {
      return;
    }
    logDifference("zone-evacuated", evacuated, zones, at, source);
    logDifference("zone-returned", zones, evacuated, at, source);
    zones = Set.copyOf(evacuated);
  }

  private static void logDifference(
      String event, Set<String> from, Set<String> without, StoreRevision at, String source) {
    for (String zone : new TreeSet<>(from)) {
      if (!without.contains(zone)) {
        EventLog.event(event).with("zone", zone).with("revision", at).with("source", source).info();
      }
    }
  }
}
