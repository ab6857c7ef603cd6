package org.zinniaspan.configuration;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds the first documents that a fresh VM read from the platform until its peers had the time to
 * tell of higher revisions.
 *
 * <p>State is guarded by this object's lock.
 */
final class InitialDocumentBuffer {

  private static final long MAX_FETCH_WAIT_MS = 5_000;

  private record Held(Document document, long sinceMs) {}

  private final ConfigurationStore store;
  private final PeerDocumentFetcher fetcher;
  private final long waitMs;
  private final Map<DocumentName, Held> held = new EnumMap<>(DocumentName.class);
  private final Set<DocumentName> advertised = EnumSet.noneOf(DocumentName.class);

  InitialDocumentBuffer(ConfigurationStore store, PeerDocumentFetcher fetcher, long waitMs) {
    this.store = store;
    this.fetcher = fetcher;
    this.waitMs = waitMs;
  }

  /** Notes that a peer told which revision of the document it has. */
  synchronized void advertised(DocumentName name) {
    advertised.add(name);
  }

  /** Holds a document; returns false if it may be adopted at once. */
  synchronized boolean hold(Document document, boolean noPeersListed, long nowMs) {
    DocumentName name = document.name();
    boolean first = store.current().revision(name) == 0 && name != DocumentName.VMS;
    if (!first || noPeersListed) {
      return false;
    }
    Held known = held.get(name);
    long sinceMs = known == null ? nowMs : known.sinceMs();
    if (known == null || known.document().revision() < document.revision()) {
      held.put(name, new Held(document, sinceMs));
    }
    return true;
  }

  /** Returns the documents that have been held long enough. */
  synchronized List<Document> release(long nowMs) {
    List<Document> released = new ArrayList<>();
    held.values().stream()
        .filter(waiting -> isDue(waiting, nowMs))
        .forEach(waiting -> released.add(waiting.document()));
    released.forEach(document -> held.remove(document.name()));
    return released;
  }

  private boolean isDue(Held waiting, long nowMs) {
    long waitedMs = nowMs - waiting.sinceMs();
    Document document = waiting.document();
    if (fetcher.isFetchingNewer(document.name(), document.revision())) {
      return waitedMs >= MAX_FETCH_WAIT_MS;
    }
    return advertised.contains(document.name()) || waitedMs >= waitMs;
  }
}
