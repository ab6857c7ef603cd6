package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Applies lists and changes of endpoints to a directory in whatever order they arrive: of each
 * entry, only a state that is at least as new as the known one is applied.
 *
 * <p>Lists and watches are answered independently, so that a list can arrive after changes that it
 * does not contain. Dropping such a list would leave none to apply while changes go on; so each
 * entry is compared by itself. Not thread-safe.
 */
final class EndpointUpdates {

  private final EndpointDirectory directory;
  private final Map<String, StoreRevision> entryRevisions = new HashMap<>();
  private StoreRevision listRevision = StoreRevision.NONE;
  private StoreRevision revision = StoreRevision.NONE;

  EndpointUpdates(EndpointDirectory directory) {
    this.directory = directory;
  }

  /** Returns the revision of the platform's store up to which all endpoints are known. */
  StoreRevision revision() {
    return revision;
  }

  /** Starts an epoch of the store, whose revisions are newer than all of the epochs before. */
  void startEpoch(long epoch) {
    revision = new StoreRevision(epoch, 0);
  }

  /** Records that no entry changed up to a revision; one of another epoch is ignored. */
  void onUnchanged(StoreRevision until) {
    if (until.epoch() == revision.epoch() && until.compareTo(revision) > 0) {
      revision = until;
    }
  }

  /** Forgets the revisions of entries, so that the next list is applied as it is. */
  void onHistoryLost() {
    entryRevisions.clear();
    listRevision = StoreRevision.NONE;
  }

  /** Applies the pages of a complete list, of which each is valid at its own revision. */
  void applyList(List<EndpointPage> pages) {
    Set<String> listed = new HashSet<>();
    Set<String> kept = new HashSet<>();
    List<ListedEndpoint> current = new ArrayList<>();
    for (EndpointPage page : pages) {
      for (ListedEndpoint entry : page.endpoints()) {
        listed.add(entry.id());
        if (advance(entry.id(), page.revision())) {
          current.add(entry);
        } else {
          kept.add(entry.id());
        }
      }
    }
    for (ListedEndpoint known : directory.entries()) {
      if (!listed.contains(known.id())
          && !advance(known.id(), pageOf(known.id(), pages).revision())) {
        kept.add(known.id());
      }
    }
    directory.replaceAll(current, kept::contains);
    onList(pages.get(0).revision());
  }

  private static EndpointPage pageOf(String id, List<EndpointPage> pages) {
    return pages.stream().filter(page -> page.covers(id)).findFirst().orElseThrow();
  }

  private void onList(StoreRevision complete) {
    if (listRevision.equals(StoreRevision.NONE) || complete.compareTo(revision) > 0) {
      revision = complete;
    }
    if (complete.compareTo(listRevision) > 0) {
      listRevision = complete;
      entryRevisions.values().removeIf(entry -> entry.compareTo(complete) <= 0);
    }
  }

  /**
   * Applies changes.
   *
   * @param changes all changes since a known revision, oldest first
   * @param until revision up to which they go
   */
  void applyChanges(List<CatalogChanges.AtRevision> changes, StoreRevision until) {
    for (CatalogChanges.AtRevision change : changes) {
      if (advance(change.change().id(), change.revision())) {
        directory.apply(change.change());
      }
    }
    onUnchanged(until);
  }

  /**
   * Records that the state of an entry is known up to a revision.
   *
   * @return false if it is known up to a later one, so that its state at this one is outdated
   */
  private boolean advance(String id, StoreRevision to) {
    boolean current =
        to.compareTo(listRevision) >= 0
            && to.compareTo(entryRevisions.getOrDefault(id, StoreRevision.NONE)) >= 0;
    if (current) {
      entryRevisions.put(id, to);
    }
    return current;
  }
}
