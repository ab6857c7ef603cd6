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
 * Follows the platform's documents while it is wanted, with one call at a time.
 *
 * <p>A revision counts as seen only after its document has been read at that revision or a higher
 * one. All documents are listed now and then, so that a platform whose revisions went back is
 * noticed. State is guarded by this object's lock.
 */
final class PlatformFollower {

  private static final long LISTING_PERIOD_MS = 10_000;
  private static final long SHORTEST_PERIOD_MS = 200;
  private static final long FIRST_BACKOFF_MS = 500;
  private static final long LONGEST_BACKOFF_MS = 4_000;

  private final PlatformPort port;
  private final ConfigurationStore store;
  private final FeedSettings settings;
  private final Clock clock;
  private final Random random;
  private final Consumer<Document> sink;
  private final Deque<Change> unread = new ArrayDeque<>();
  private volatile long answeredMs = Long.MIN_VALUE;
  private volatile long behind;
  private long seenRevision;
  private long targetRevision;
  private long startedMs;
  private long listedMs = Long.MIN_VALUE;
  private long nextMs;
  private long backoffMs = FIRST_BACKOFF_MS;
  private boolean busy;

  PlatformFollower(
      PlatformPort port,
      ConfigurationStore store,
      FeedSettings settings,
      Clock clock,
      Random random,
      Consumer<Document> sink) {
    this.port = port;
    this.store = store;
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.sink = sink;
  }

  /** Returns when the platform last answered; {@link Long#MIN_VALUE} if never. */
  long answeredMs() {
    return answeredMs;
  }

  /** Returns how often the platform listed a revision lower than the one in force. */
  long behind() {
    return behind;
  }

  void tick(BooleanSupplier wanted) {
    long now = clock.nowMs();
    synchronized (this) {
      if (busy || now < nextMs || !wanted.getAsBoolean()) {
        return;
      }
      busy = true;
      startedMs = now;
    }
    watch(now);
  }

  private void watch(long nowMs) {
    boolean listing = listedMs == Long.MIN_VALUE || nowMs - listedMs >= LISTING_PERIOD_MS;
    if (listing) {
      listedMs = nowMs;
      port.watch(0, 0, this::watched);
    } else {
      port.watch(seenRevision, settings.watchMs(), this::watched);
    }
  }

  private void watched(Optional<List<Change>> changes) {
    if (changes.isEmpty()) {
      failed();
      return;
    }
    synchronized (this) {
      answeredMs = clock.nowMs();
      backoffMs = FIRST_BACKOFF_MS;
      targetRevision = seenRevision;
      unread.clear();
      changes.get().stream()
          .sorted(Comparator.comparing((Change change) -> change.name() != DocumentName.VMS))
          .forEach(this::note);
    }
    readNext();
  }

  private void note(Change change) {
    targetRevision = Math.max(targetRevision, change.revision());
    long inForce = store.current().revision(change.name());
    if (change.revision() > inForce && !store.isRefused(change.name(), change.revision())) {
      unread.add(change);
    } else if (change.revision() < inForce) {
      behind++;
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
        busy = false;
        nextMs = startedMs + SHORTEST_PERIOD_MS;
        return;
      }
    }
    port.read(change.name(), document -> read(change, document));
  }

  private void read(Change change, Optional<Document> document) {
    document.ifPresent(sink);
    if (document.filter(found -> found.revision() >= change.revision()).isPresent()) {
      readNext();
    } else {
      failed();
    }
  }

  private synchronized void failed() {
    busy = false;
    unread.clear();
    nextMs = clock.nowMs() + backoffMs + random.nextInt((int) FIRST_BACKOFF_MS);
    backoffMs = Math.min(LONGEST_BACKOFF_MS, 2 * backoffMs);
  }
}
