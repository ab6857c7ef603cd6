package org.zinniaspan.forwarding;

import java.util.List;
import java.util.function.Consumer;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.forwarding.PendingRequests.Request;

/**
 * Brings the list of endpoints up to date when a decision needs one that is current.
 *
 * <p>One call to the platform serves all requests that came before it started. Not thread-safe.
 */
final class ListConfirmer implements Ticking {

  /** Time after which a request has failed, in milliseconds. */
  private static final long TIMEOUT_MS = 350;

  private final Catalog catalog;
  private final HedgedChangeReads reads;
  private final EndpointUpdates updates;
  private final EndpointDirectory directory;
  private final Clock clock;
  private final PendingRequests requests;
  private boolean calling;

  ListConfirmer(
      Catalog catalog,
      HedgedChangeReads reads,
      EndpointUpdates updates,
      EndpointDirectory directory,
      Clock clock) {
    this.catalog = catalog;
    this.reads = reads;
    this.updates = updates;
    this.directory = directory;
    this.clock = clock;
    this.requests = new PendingRequests(clock, TIMEOUT_MS);
  }

  /**
   * Brings the list up to date by a call to the platform that starts now or later.
   *
   * @param callback receives, exactly once, whether the list is as new as this request
   */
  void confirm(Consumer<Boolean> callback) {
    requests.add(callback);
    if (!calling) {
      call();
    }
  }

  private void call() {
    List<Request> served = requests.all();
    if (served.isEmpty()) {
      return;
    }
    calling = true;
    long startedMs = clock.nowMs();
    reads.read(
        updates.revision().number(),
        result -> {
          if (result instanceof CatalogResult.Read<List<CatalogChanges.AtRevision>> read
              && isCurrentEpoch(read)) {
            updates.applyChanges(read.value(), read.revision());
            directory.onListCurrent(startedMs);
            end(served, true);
          } else if (result instanceof CatalogResult.HistoryLost) {
            readList(served, startedMs);
          } else {
            end(served, false);
          }
        });
  }

  private void readList(List<Request> served, long startedMs) {
    catalog.readEndpoints(
        result -> {
          if (result instanceof CatalogResult.Read<List<EndpointPage>> read
              && isCurrentEpoch(read)) {
            updates.applyList(read.value());
            directory.onListCurrent(startedMs);
            end(served, true);
          } else {
            end(served, false);
          }
        });
  }

  private boolean isCurrentEpoch(CatalogResult.Read<?> read) {
    return read.revision().epoch() == updates.revision().epoch();
  }

  private void end(List<Request> served, boolean confirmed) {
    calling = false;
    requests.end(served, confirmed);
    if (!calling) {
      call();
    }
  }

  /** Ends the requests that have timed out. */
  @Override
  public void tick() {
    requests.tick();
  }
}
