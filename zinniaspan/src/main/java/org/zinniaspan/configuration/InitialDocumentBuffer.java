package org.zinniaspan.configuration;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Buffers the first documents that a new VM reads from the platform, until its peers have had time
 * to announce higher revisions.
 *
 * <p>The platform may return an outdated revision. The list of VMs is not buffered, since it names
 * the peers.
 *
 * <p>State is guarded by this object's lock.
 */
final class InitialDocumentBuffer {

  /** Maximum wait, in milliseconds, for the fetch of a higher revision from a peer. */
  private static final long MAX_FETCH_WAIT_MS = 5_000;

  private record BufferedDocument(Document document, long sinceMs) {}

  private final ConfigurationStore store;
  private final PeerDocumentFetcher fetcher;
  private final long waitMs;
  private final Map<DocumentName, BufferedDocument> buffered = new EnumMap<>(DocumentName.class);
  private final Set<DocumentName> announced = EnumSet.noneOf(DocumentName.class);

  InitialDocumentBuffer(ConfigurationStore store, PeerDocumentFetcher fetcher, long waitMs) {
    this.store = store;
    this.fetcher = fetcher;
    this.waitMs = waitMs;
  }

  /** Records that a peer has announced its revision of the document. */
  synchronized void announced(DocumentName name) {
    announced.add(name);
  }

  /**
   * Buffers a document if no revision of it is in force, unless it is the list of VMs or there are
   * no peers to wait for.
   *
   * @param noPeersListed whether the list of VMs names no peers
   * @return whether it was buffered; if not, it may be adopted at once
   */
  synchronized boolean bufferIfFirst(Document document, boolean noPeersListed, long nowMs) {
    DocumentName name = document.name();
    boolean first = store.current().revision(name) == 0 && name != DocumentName.VMS;
    if (!first || noPeersListed) {
      return false;
    }
    BufferedDocument known = buffered.get(name);
    long sinceMs = known == null ? nowMs : known.sinceMs();
    if (known == null || known.document().revision() < document.revision()) {
      buffered.put(name, new BufferedDocument(document, sinceMs));
    }
    return true;
  }

  /** Removes and returns the documents whose wait is over. */
  synchronized List<Document> removeDue(long nowMs) {
    List<Document> due = new ArrayList<>();
    buffered.values().stream()
        .filter(waiting -> isDue(waiting, nowMs))
        .forEach(waiting -> due.add(waiting.document()));
    due.forEach(document -> buffered.remove(document.name()));
    return due;
  }

  /**
   * Returns whether a peer has announced its revision, or the initial wait is over; while a higher
   * revision is being fetched, only whether {@link #MAX_FETCH_WAIT_MS} is over.
   */
  private boolean isDue(BufferedDocument waiting, long nowMs) {
    long waitedMs = nowMs - waiting.sinceMs();
    Document document = waiting.document();
    if (fetcher.isFetchingNewer(document.name(), document.revision())) {
      return waitedMs >= MAX_FETCH_WAIT_MS;
    }
    return announced.contains(document.name()) || waitedMs >= waitMs;
  }
}
