package org.zinniaspan.configuration;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.peer.proto.DocumentPart;
import org.zinniaspan.peer.proto.DocumentRevision;
import org.zinniaspan.peer.proto.Envelope;

/**
 * Fetches documents from other VMs that have a higher revision.
 *
 * <p>There is at most one fetch at a time for each document. A lost part is requested again, from
 * the VM of this zone that last announced a higher revision. State is guarded by this object's
 * lock.
 */
final class PeerDocumentFetcher {

  /** Time without progress, in milliseconds, after which a part is requested again. */
  private static final long PART_TIMEOUT_MS = 700;

  private static final int MAX_RETRIES = 8;

  private record RemoteRevision(long revision, String vm, long firstAnnouncedMs) {}

  private final ConfigurationStore store;
  private final PeerLink link;
  private final Clock clock;
  private final long remoteGraceMs;
  private final Consumer<Document> sink;
  private final Map<DocumentName, DocumentFetch> fetches = new EnumMap<>(DocumentName.class);
  private final Map<DocumentName, RemoteRevision> remoteRevisions =
      new EnumMap<>(DocumentName.class);
  private final Map<DocumentName, String> lastAnnouncingVm = new HashMap<>();
  private final Map<DocumentName, Long> completedRevisions = new EnumMap<>(DocumentName.class);

  PeerDocumentFetcher(
      ConfigurationStore store,
      PeerLink link,
      Clock clock,
      long remoteGraceMs,
      Consumer<Document> sink) {
    this.store = store;
    this.link = link;
    this.clock = clock;
    this.remoteGraceMs = remoteGraceMs;
    this.sink = sink;
  }

  /**
   * Records that a VM has announced its revision of a document.
   *
   * <p>If the revision is higher than the one in force, a fetch starts: at once if the VM is in
   * this zone, otherwise in {@link #tick}, after the grace period or if no revision is in force.
   */
  synchronized void onRevision(String vm, DocumentRevision revision, boolean ownZone) {
    Optional<DocumentName> name = DocumentName.of(revision.getName());
    if (name.isEmpty() || !isNewer(name.get(), revision.getRevision())) {
      return;
    }
    if (ownZone) {
      lastAnnouncingVm.put(name.get(), vm);
      fetch(name.get(), revision.getRevision(), vm);
    } else {
      RemoteRevision known = remoteRevisions.get(name.get());
      long sinceMs =
          known != null && known.revision() >= revision.getRevision()
              ? known.firstAnnouncedMs()
              : clock.nowMs();
      remoteRevisions.put(name.get(), new RemoteRevision(revision.getRevision(), vm, sinceMs));
    }
  }

  private boolean isNewer(DocumentName name, long revision) {
    long known =
        Math.max(store.current().revision(name), completedRevisions.getOrDefault(name, 0L));
    return revision > known && !store.isRejected(name, revision);
  }

  /** Returns whether a fetch of a revision higher than the given one is in progress. */
  synchronized boolean isFetchingNewer(DocumentName name, long revision) {
    DocumentFetch fetch = fetches.get(name);
    return fetch != null && fetch.revision() > revision;
  }

  private void fetch(DocumentName name, long revision, String vm) {
    DocumentFetch active = fetches.get(name);
    if (active != null && active.revision() >= revision) {
      return;
    }
    DocumentFetch fetch =
        new DocumentFetch(name, revision, store.document(name), vm, clock.nowMs());
    fetches.put(name, fetch);
    sendRequest(fetch);
  }

  private void sendRequest(DocumentFetch fetch) {
    link.send(fetch.sourceVm(), Envelope.newBuilder().setDocumentRequest(fetch.request()));
  }

  /** Handles a part sent by a VM. */
  void onPart(DocumentPart part) {
    addPart(part).ifPresent(sink);
  }

  private synchronized Optional<Document> addPart(DocumentPart part) {
    Optional<DocumentName> name = DocumentName.of(part.getName());
    DocumentFetch fetch = name.map(fetches::get).orElse(null);
    if (fetch == null || !fetch.add(part, clock.nowMs())) {
      return Optional.empty();
    }
    if (!fetch.isComplete(part)) {
      sendRequest(fetch);
      return Optional.empty();
    }
    fetches.remove(name.get());
    Optional<Document> document = fetch.document(part);
    if (document.isEmpty()) {
      EventLog.event("document-corrupt")
          .with("name", part.getName())
          .with("revision", part.getRevision())
          .with("from", fetch.sourceVm())
          .warn();
    }
    document.ifPresent(found -> completedRevisions.put(name.get(), found.revision()));
    return document;
  }

  /**
   * Retries or abandons stalled fetches, and starts fetches of revisions that only other zones
   * have.
   */
  synchronized void tick() {
    long now = clock.nowMs();
    fetches.entrySet().removeIf(entry -> retryOrAbandon(entry.getKey(), entry.getValue(), now));
    for (DocumentName name : DocumentName.values()) {
      RemoteRevision known = remoteRevisions.get(name);
      if (known != null && !isNewer(name, known.revision())) {
        remoteRevisions.remove(name);
      } else if (known != null && isDue(name, known, now)) {
        remoteRevisions.remove(name);
        fetch(name, known.revision(), known.vm());
      }
    }
  }

  /** Returns whether this VM has no revision of the document, or the grace period is over. */
  private boolean isDue(DocumentName name, RemoteRevision known, long nowMs) {
    return store.current().revision(name) == 0 || nowMs - known.firstAnnouncedMs() >= remoteGraceMs;
  }

  /** Retries a stalled fetch; returns true if it is to be abandoned after too many retries. */
  private boolean retryOrAbandon(DocumentName name, DocumentFetch fetch, long nowMs) {
    if (nowMs - fetch.lastProgressMs() < PART_TIMEOUT_MS) {
      return false;
    }
    String vm = lastAnnouncingVm.getOrDefault(name, fetch.sourceVm());
    if (fetch.retry(vm, nowMs) > MAX_RETRIES) {
      return true;
    }
    sendRequest(fetch);
    return false;
  }
}
