package org.zinniaspan.standins.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The documents of the platform stand-in, with one revision counter for all.
 *
 * <p>Thread-safe: all state is guarded by this object's monitor. Readers can be shown frozen
 * documents or a snapshot, as from a stale or rolled-back replica; publications change neither.
 */
public final class PlatformState {

  /** A published document. */
  public record PublishedDocument(String name, long revision, byte[] content) {}

  private final Map<String, PublishedDocument> documents = new HashMap<>();
  private Optional<Map<String, PublishedDocument>> frozenDocuments = Optional.empty();
  private Map<String, PublishedDocument> snapshot = Map.of();
  private long revision;
  private boolean down;
  private long calls;

  /** Publishes a document and returns its revision. */
  public synchronized long publish(String name, byte[] content) {
    revision++;
    documents.put(name, new PublishedDocument(name, revision, content));
    notifyAll();
    return revision;
  }

  /** Sets whether the service is unavailable to readers; pending watches return. */
  public synchronized void setDown(boolean value) {
    down = value;
    notifyAll();
  }

  /** Freezes the documents that readers see at their present state, or shows the latest again. */
  public synchronized void setStale(boolean value) {
    frozenDocuments = value ? Optional.of(new HashMap<>(documents)) : Optional.empty();
    notifyAll();
  }

  /** Takes a snapshot of the documents for {@link #setRolledBack}. */
  public synchronized void takeSnapshot() {
    snapshot = new HashMap<>(documents);
  }

  /** Shows readers the snapshot, or the latest documents again. */
  public synchronized void setRolledBack(boolean value) {
    frozenDocuments = value ? Optional.of(snapshot) : Optional.empty();
    notifyAll();
  }

  /** Returns whether the service is unavailable to readers. */
  public synchronized boolean isDown() {
    return down;
  }

  /** Returns the revision of the document that was published last. */
  public synchronized long revision() {
    return revision;
  }

  /** Counts a reader call. */
  public synchronized void countCall() {
    calls++;
  }

  /** Returns the number of reader calls so far. */
  public synchronized long calls() {
    return calls;
  }

  /** Returns a document as visible to readers, or empty if there is none of that name. */
  public synchronized Optional<PublishedDocument> read(String name) {
    return Optional.ofNullable(visible().get(name));
  }

  /**
   * Waits until documents newer than a revision are visible, and returns them.
   *
   * @param afterRevision newest revision that the reader has
   * @param waitMs longest wait, in milliseconds
   * @return the newer documents; empty after the wait or if the service is unavailable
   */
  public synchronized List<PublishedDocument> watch(long afterRevision, long waitMs)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
    List<PublishedDocument> changes = newerThan(afterRevision);
    long remainingMs = waitMs;
    while (changes.isEmpty() && !down && remainingMs > 0) {
      wait(remainingMs);
      changes = newerThan(afterRevision);
      remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    }
    return changes;
  }

  private Map<String, PublishedDocument> visible() {
    return frozenDocuments.orElse(documents);
  }

  private List<PublishedDocument> newerThan(long afterRevision) {
    List<PublishedDocument> changes = new ArrayList<>();
    for (PublishedDocument document : visible().values()) {
      if (document.revision() > afterRevision) {
        changes.add(document);
      }
    }
    return changes;
  }
}
