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
 * <p>State is guarded by this object's lock. A stale replica shows the documents as they were when
 * it was frozen.
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

  /** Makes the service answer nothing, or answer again. */
  public synchronized void setDown(boolean value) {
    down = value;
    notifyAll();
  }

  /** Makes the service show the documents of now for good, or the newest again. */
  public synchronized void setStale(boolean value) {
    frozenDocuments = value ? Optional.of(new HashMap<>(documents)) : Optional.empty();
    notifyAll();
  }

  /** Remembers the documents of now for {@link #setRolledBack}. */
  public synchronized void takeSnapshot() {
    snapshot = new HashMap<>(documents);
  }

  /** Makes the service show the marked documents for good, or the newest again. */
  public synchronized void setRolledBack(boolean value) {
    frozenDocuments = value ? Optional.of(snapshot) : Optional.empty();
    notifyAll();
  }

  /** Returns whether the service answers nothing. */
  public synchronized boolean isDown() {
    return down;
  }

  /** Returns the revision of the last published document. */
  public synchronized long revision() {
    return revision;
  }

  /** Counts a call of a reader. */
  public synchronized void countCall() {
    calls++;
  }

  /** Returns the number of calls of readers so far. */
  public synchronized long calls() {
    return calls;
  }

  /** Returns a document as readers see it. */
  public synchronized Optional<PublishedDocument> read(String name) {
    return Optional.ofNullable(visible().get(name));
  }

  /** Waits until documents newer than the revision are visible, and returns them. */
  public synchronized List<PublishedDocument> watch(long after, long waitMs)
      throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
    List<PublishedDocument> changes = newerThan(after);
    long remainingMs = waitMs;
    while (changes.isEmpty() && !down && remainingMs > 0) {
      wait(remainingMs);
      changes = newerThan(after);
      remainingMs = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
    }
    return changes;
  }

  private Map<String, PublishedDocument> visible() {
    return frozenDocuments.orElse(documents);
  }

  private List<PublishedDocument> newerThan(long after) {
    List<PublishedDocument> changes = new ArrayList<>();
    for (PublishedDocument document : visible().values()) {
      if (document.revision() > after) {
        changes.add(document);
      }
    }
    return changes;
  }
}
