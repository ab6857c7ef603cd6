package org.zinniaspan.forwarding;

import java.util.List;
import java.util.function.Consumer;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;

/**
 * Reads the changes to the list of endpoints from before this process observed it, as far back as
 * the platform has them, and records them in the directory.
 *
 * <p>The platform does not state which revision is the oldest one with a history, so that it is
 * searched for: with steps back that grow, and then between the last two. One search serves all
 * requests. Not thread-safe.
 */
final class EarlierChanges implements Ticking {

  /** Time after which a request has failed, in milliseconds. */
  private static final long TIMEOUT_MS = 350;

  private static final int STEP_FACTOR = 8;

  /** Number of revisions before the newest one after which the search ends. */
  private static final long MAX_REVISIONS = 1L << 14;

  private final HedgedChangeReads reads;
  private final EndpointUpdates updates;
  private final EndpointDirectory directory;
  private final PendingRequests requests;
  private boolean searching;

  EarlierChanges(
      HedgedChangeReads reads, EndpointUpdates updates, EndpointDirectory directory, Clock clock) {
    this.reads = reads;
    this.updates = updates;
    this.directory = directory;
    this.requests = new PendingRequests(clock, TIMEOUT_MS);
  }

  /**
   * Reads the changes, unless the list has been observed for {@value
   * EndpointDirectory#VERSION_HISTORY_MS} ms.
   *
   * @param callback receives, exactly once, whether the directory knows them
   */
  void read(Consumer<Boolean> callback) {
    if (directory.observedMs() >= EndpointDirectory.VERSION_HISTORY_MS) {
      callback.accept(true);
      return;
    }
    requests.add(callback);
    if (!searching) {
      searching = true;
      new Search(updates.revision()).readNext();
    }
  }

  /** Ends the requests that have timed out. */
  @Override
  public void tick() {
    requests.tick();
  }

  private final class Search {

    private final StoreRevision newest;
    private long firstRevision;
    private long lostRevision = -1;
    private long step = 1;
    private List<EndpointChange> found = List.of();

    Search(StoreRevision newest) {
      this.newest = newest;
      this.firstRevision = newest.number();
    }

    void readNext() {
      boolean far = newest.number() - firstRevision >= MAX_REVISIONS;
      if (far || firstRevision == 0 || firstRevision - lostRevision <= 1) {
        directory.onEarlierChanges(found);
        end(true);
        return;
      }
      long revision =
          lostRevision < 0
              ? Math.max(0, newest.number() - step)
              : (lostRevision + firstRevision) / 2;
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
        end(false);
      }
    }

    private void end(boolean known) {
      searching = false;
      requests.end(requests.all(), known);
    }
  }
}
