package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;

/**
 * Reads changes of the list of endpoints for requests that wait for them: a call that is not
 * answered soon, as a packet of it was lost, is made a second time. Not thread-safe.
 */
final class HedgedChangeReads implements Ticking {

  /** Time after which a call is made again, in milliseconds. */
  private static final long HEDGE_DELAY_MS = 80;

  private final class Read {
    private final long startedMs = clock.nowMs();
    private final long afterRevision;
    private final Consumer<CatalogResult<List<CatalogChanges.AtRevision>>> callback;
    private boolean done;

    Read(long afterRevision, Consumer<CatalogResult<List<CatalogChanges.AtRevision>>> callback) {
      this.afterRevision = afterRevision;
      this.callback = callback;
    }

    void call() {
      catalog.readChanges(
          afterRevision,
          result -> {
            if (!done) {
              done = true;
              unanswered.remove(this);
              callback.accept(result);
            }
          });
    }
  }

  private final Catalog catalog;
  private final Clock clock;
  private final List<Read> unanswered = new ArrayList<>();

  HedgedChangeReads(Catalog catalog, Clock clock) {
    this.catalog = catalog;
    this.clock = clock;
  }

  /** Reads the changes after a revision; the callback is called exactly once. */
  void read(long afterRevision, Consumer<CatalogResult<List<CatalogChanges.AtRevision>>> callback) {
    Read read = new Read(afterRevision, callback);
    unanswered.add(read);
    read.call();
  }

  /** Makes the calls again that were not answered soon. */
  @Override
  public void tick() {
    long now = clock.nowMs();
    List<Read> late =
        unanswered.stream().filter(read -> now - read.startedMs >= HEDGE_DELAY_MS).toList();
    unanswered.removeAll(late);
    late.forEach(Read::call);
  }
}
