package org.zinniaspan.configuration;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.configuration.DocumentSource.Change;
import org.zinniaspan.log.EventLog;

/**
 * Watches the platform for new revisions and reads the changed documents, one call at a time.
 *
 * <p>A revision counts as seen only after its document has been read at that revision or a higher
 * one. All documents are listed at regular intervals, to detect a platform whose revisions have
 * decreased. Failed calls are retried with exponential backoff and jitter. State is guarded by this
 * object's lock.
 */
final class PlatformWatcher {

  private static final long FULL_LISTING_PERIOD_MS = 10_000;
  private static final long MIN_WATCH_PERIOD_MS = 200;
  private static final long INITIAL_BACKOFF_MS = 500;
  private static final long MAX_BACKOFF_MS = 4_000;

  private final PlatformClient client;
  private final ConfigurationStore store;
  private final FeedSettings settings;
  private final Clock clock;
  private final Random random;
  private final Consumer<Document> sink;
  private final Deque<Change> unread = new ArrayDeque<>();
  private volatile long lastResponseMs = Long.MIN_VALUE;
  private volatile long regressions;
  private long seenRevision;
  private long targetRevision;
  private long watchStartedMs;
  private long lastListingMs = Long.MIN_VALUE;
  private long nextWatchMs;
  private long backoffMs = INITIAL_BACKOFF_MS;
  private boolean callInFlight;

  PlatformWatcher(
      PlatformClient client,
      ConfigurationStore store,
      FeedSettings settings,
      Clock clock,
      Random random,
      Consumer<Document> sink) {
    this.client = client;
    this.store = store;
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.sink = sink;
  }

  /** Returns when the platform last responded to a watch call; {@link Long#MIN_VALUE} if never. */
  long lastResponseMs() {
    return lastResponseMs;
  }

  /** Returns how many times the platform listed a revision lower than the one in force. */
  long regressions() {
    return regressions;
  }

  /** Starts the next watch call if one is due, none is in flight and {@code wanted} is true. */
  void tick(BooleanSupplier wanted) {
    long now = clock.nowMs();
    synchronized (this) {
      if (callInFlight || now < nextWatchMs || !wanted.getAsBoolean()) {
        return;
      }
      callInFlight = true;
      watchStartedMs = now;
    }
    watch(now);
  }

  private void watch(long nowMs) {
    boolean listing =
        lastListingMs == Long.MIN_VALUE || nowMs - lastListingMs >= FULL_LISTING_PERIOD_MS;
    if (listing) {
      lastListingMs = nowMs;
      client.watch(0, 0, this::onChanges);
    } else {
      client.watch(seenRevision, settings.watchMs(), this::onChanges);
    }
  }

  private void onChanges(Optional<List<Change>> changes) {
    if (changes.isEmpty()) {
      backOff();
      return;
    }
    synchronized (this) {
      lastResponseMs = clock.nowMs();
      backoffMs = INITIAL_BACKOFF_MS;
      targetRevision = seenRevision;
      unread.clear();
      changes.get().stream()
          .sorted(Comparator.comparing((Change change) -> change.name() != DocumentName.VMS))
          .forEach(this::enqueueIfNewer);
    }
    readNext();
  }

  /** Enqueues a change whose revision is higher than the one in force; counts a lower one. */
  private void enqueueIfNewer(Change change) {
    targetRevision = Math.max(targetRevision, change.revision());
    long inForce = store.current().revision(change.name());
    if (change.revision() > inForce && !store.isRejected(change.name(), change.revision())) {
      unread.add(change);
    } else if (change.revision() < inForce) {
      regressions++;
      EventLog.event("platform-behind")
          .with("name", change.name().label())
          .with("revision", change.revision())
          .with("inForce", inForce)
          .warn();
    }
  }

  private void readNext() {
    Change change;
    synchronized (this) {
      change = unread.poll();
      if (change == null) {
        seenRevision = targetRevision;
        callInFlight = false;
        nextWatchMs = watchStartedMs + MIN_WATCH_PERIOD_MS;
        return;
      }
    }
    client.read(change.name(), document -> onDocument(change, document));
  }

  private void onDocument(Change change, Optional<Document> document) {
    document.ifPresent(sink);
    if (document.filter(found -> found.revision() >= change.revision()).isPresent()) {
      readNext();
    } else {
      backOff();
    }
  }

  private synchronized void backOff() {
    callInFlight = false;
    unread.clear();
    nextWatchMs = clock.nowMs() + backoffMs + random.nextInt((int) INITIAL_BACKOFF_MS);
    backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
  }
}
