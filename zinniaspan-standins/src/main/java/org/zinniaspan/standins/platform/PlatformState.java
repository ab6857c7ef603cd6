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
  public record Published(String name, long revision, byte[] content) {}

  private final Map<String, Published> documents = new HashMap<>();
  private Optional<Map<String, Published>> frozen = Optional.empty();
  private Map<String, Published> marked = Map.of();
  private long revision;
  private boolean down;
  private long calls;

  /** Publishes a document and returns its revision. */
  public synchronized long publish(String name, byte[] content) {
    revision++;
    documents.put(name, new Published(name, revision, content));
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
    frozen = value ? Optional.of(new HashMap<>(documents)) : Optional.empty();
    notifyAll();
  }

  /** Remembers the documents of now for {@link #setBack}. */
  public synchronized void mark() {
    marked = new HashMap<>(documents);
  }

  /** Makes the service show the marked documents for good, or the newest again. */
  public synchronized void setBack(boolean value) {
    frozen = value ? Optional.of(marked) : Optional.empty();
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
  public synchronized Optional<Published> read(String name) {
    return Optional.ofNullable(visible().get(name));
  }

  /** Waits until documents newer than the revision are visible, and returns them. */
  public synchronized List<Published> watch(long after, long waitMs) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
    List<Published> changes = newerThan(after);
    long leftMs = waitMs;
    while (changes.isEmpty() && !down && leftMs > 0) {
      wait(leftMs);
      changes = newerThan(after);
      leftMs = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
    }
    return changes;
  }

  private Map<String, Published> visible() {
    return frozen.orElse(documents);
  }

  private List<Published> newerThan(long after) {
    List<Published> changes = new ArrayList<>();
    for (Published document : visible().values()) {
      if (document.revision() > after) {
        changes.add(document);
      }
    }
    return changes;
  }
}
