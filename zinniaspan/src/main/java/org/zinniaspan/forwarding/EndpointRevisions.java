package org.zinniaspan.forwarding;

import java.util.HashMap;
import java.util.Map;

/**
 * The revision of the platform's store up to which the entry of each endpoint is known, also that
 * of a removed one.
 *
 * <p>Lists and watches are answered independently, so that a list can arrive after changes that it
 * does not contain. Dropping such a list would leave none to apply while changes go on; so each
 * entry is compared by itself. Not thread-safe.
 */
final class EndpointRevisions {

  private final Map<String, StoreRevision> changed = new HashMap<>();
  private StoreRevision listed = StoreRevision.NONE;

  /**
   * Records that the state of an entry is known up to a revision.
   *
   * @return false if it is known up to a later one, so that its state at this one is outdated
   */
  boolean update(String id, StoreRevision revision) {
    boolean current =
        revision.compareTo(listed) >= 0
            && revision.compareTo(changed.getOrDefault(id, StoreRevision.NONE)) >= 0;
    if (current) {
      changed.put(id, revision);
    }
    return current;
  }

  /** Records that the states of all entries are known up to a revision. */
  void onList(StoreRevision revision) {
    if (revision.compareTo(listed) > 0) {
      listed = revision;
      changed.values().removeIf(entry -> entry.compareTo(revision) <= 0);
    }
  }

  /** Forgets all revisions, as the platform's store no longer has the changes after them. */
  void clear() {
    changed.clear();
    listed = StoreRevision.NONE;
  }
}
