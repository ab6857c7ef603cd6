package org.zinniaspan.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Reads the changes to the list of endpoints that the platform still has, as far back as it goes.
 *
 * <p>The platform does not state which revision is the oldest one with a history, so that it is
 * searched for: with steps back that grow, and then between the last two. Not thread-safe.
 */
final class EarlierChanges {

  private static final int STEP_FACTOR = 8;

  /** Number of revisions before the newest one after which the search ends. */
  private static final long MAX_REVISIONS = 1L << 14;

  private final HedgedChangeReads reads;
  private final StoreRevision newest;
  private final Consumer<Optional<List<EndpointChange>>> callback;
  private long firstRevision;
  private long lostRevision = -1;
  private long step = 1;
  private List<EndpointChange> found = List.of();

  private EarlierChanges(
      HedgedChangeReads reads,
      StoreRevision newest,
      Consumer<Optional<List<EndpointChange>>> callback) {
    this.reads = reads;
    this.newest = newest;
    this.callback = callback;
    this.firstRevision = newest.number();
  }

  /**
   * Reads the changes.
   *
   * @param newest the newest known revision
   * @param callback receives the changes, oldest first, once; empty if the platform fails
   */
  static void read(
      HedgedChangeReads reads,
      StoreRevision newest,
      Consumer<Optional<List<EndpointChange>>> callback) {
    new EarlierChanges(reads, newest, callback).readNext();
  }

  private void readNext() {
    boolean complete = firstRevision == 0 || newest.number() - firstRevision >= MAX_REVISIONS;
    if (complete || firstRevision - lostRevision <= 1) {
      callback.accept(Optional.of(found));
      return;
    }
    long revision =
        lostRevision < 0 ? Math.max(0, newest.number() - step) : (lostRevision + firstRevision) / 2;
    step *= STEP_FACTOR;
    reads.read(revision, result -> onResult(revision, result));
  }

  private void onResult(long revision, CatalogResult<List<CatalogChanges.AtRevision>> result) {
    if (result instanceof CatalogResult.Read<List<CatalogChanges.AtRevision>> read
        && read.revision().epoch() == newest.epoch()) {
      firstRevision = revision;
      found = read.value().stream().map(CatalogChanges.AtRevision::change).toList();
      readNext();
    } else if (result instanceof CatalogResult.HistoryLost) {
      lostRevision = revision;
      readNext();
    } else {
      callback.accept(Optional.empty());
    }
  }
}
