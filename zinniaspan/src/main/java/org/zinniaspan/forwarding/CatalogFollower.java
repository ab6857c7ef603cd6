package org.zinniaspan.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.log.EventLog;

/**
 * Keeps the routing table, the evacuated availability zones and the list of endpoints up to date.
 *
 * <p>A watch delivers changes at once. Since a broken watch may look the same as one without
 * changes, the table is also read at an interval, together with the evacuated zones, and at once if
 * the clocks have drifted apart; only such a read confirms the table. A table is adopted only if
 * its version is higher than the version in force.
 *
 * <p>When the store was restored from a copy, shown by its epoch, everything is read again, and
 * reads confirm nothing until what the copy lacks has been written again.
 *
 * <p>While another VM reads the platform for this one, the follower is passive: it reads only what
 * this VM still lacks, and is told the rest.
 */
public final class CatalogFollower implements Ticking {

  /**
   * Interval between two complete reads of the endpoints while the watch works, in milliseconds.
   */
  private static final long ENDPOINT_READ_INTERVAL_MS = 30_000;

  /**
   * Shortest delay after a failed call, in milliseconds; a random part of up to the same length is
   * added. It doubles with each failure in a row.
   */
  private static final int RETRY_DELAY_MS = 120;

  /** Longest delay after a failed call without its random part, in milliseconds. */
  private static final int MAX_RETRY_DELAY_MS = 480;

  /** Time after which an unanswered read counts as a failure of the platform, in milliseconds. */
  private static final long SLOW_READ_MS = 400;

  /**
   * Time after the store was restored from a copy in which reads confirm nothing, in milliseconds:
   * as long as the platform takes to write again what is lost.
   */
  private static final long RESTORE_SETTLE_MS = 2_200;

  private final Catalog catalog;
  private final Clock clock;
  private final TableFreshness freshness;
  private final EndpointDirectory directory;
  private final PlatformBounds bounds;
  private final Random random;
  private final EndpointUpdates updates;
  private final HedgedChangeReads changeReads;
  private final ListConfirmer confirmer;
  private final EarlierChanges earlierChanges;

  private final EvacuatedZones evacuatedZones = new EvacuatedZones();

  private Optional<RoutingTable> table = Optional.empty();
  private boolean evacuationsShared = true;
  private boolean passive;
  private boolean tableReadRequested;
  private int failuresInRow;
  private long tableReadStartMs;
  private boolean readingTable;
  private boolean readingEndpoints;
  private boolean watching;
  private boolean listComplete;
  private boolean reachable = true;
  private StoreRevision watchedRevision = StoreRevision.NONE;
  private long settledMs = Long.MIN_VALUE;
  private long lastAnswerMs;
  private long nextTableReadMs;
  private long nextEndpointReadMs;

  /** Creates a follower without a table or endpoints. */
  public CatalogFollower(
      Catalog catalog,
      Clock clock,
      TableFreshness freshness,
      EndpointDirectory directory,
      PlatformBounds bounds,
      Random random) {
    this.catalog = catalog;
    this.clock = clock;
    this.freshness = freshness;
    this.directory = directory;
    this.bounds = bounds;
    this.random = random;
    this.updates = new EndpointUpdates(directory);
    this.changeReads = new HedgedChangeReads(catalog, clock);
    this.confirmer = new ListConfirmer(catalog, changeReads, updates, directory, clock);
    this.earlierChanges = new EarlierChanges(changeReads, updates, directory, clock);
    this.lastAnswerMs = clock.nowMs();
    directory.setWatchWait(bounds.watchWaitMs());
  }

  /** Returns the table in force; empty if none was read. */
  public Optional<RoutingTable> table() {
    return table;
  }

  /** Returns the availability zones to whose endpoints nothing may be sent. */
  public EvacuatedZones evacuatedZones() {
    return evacuatedZones;
  }

  /**
   * Sets whether the VM that reads the platform for this one passes on the evacuated zones; one of
   * an earlier release does not, so that this VM reads them itself.
   */
  public void setEvacuationsShared(boolean value) {
    evacuationsShared = value;
  }

  /** Returns whether a complete list of the endpoints was read at least once. */
  public boolean isListComplete() {
    return listComplete;
  }

  /** Returns whether the last read from the platform was answered. */
  public boolean isReachable() {
    return reachable;
  }

  /** Returns whether reads from the platform are answered, and none has been waiting for long. */
  public boolean isAnswering() {
    return reachable && !(readingTable && clock.nowMs() - tableReadStartMs > SLOW_READ_MS);
  }

  /** Returns the revision of the platform's store up to which the endpoints are known. */
  public StoreRevision revision() {
    return updates.revision();
  }

  /**
   * Sets whether another VM reads the platform for this one; when it no longer does, everything is
   * read at once.
   */
  public void setPassive(boolean value) {
    if (passive && !value) {
      nextTableReadMs = Math.min(nextTableReadMs, clock.nowMs());
      nextEndpointReadMs = Math.min(nextEndpointReadMs, clock.nowMs());
    }
    passive = value;
  }

  /** Requests one read of the table although the follower is passive. */
  public void requestTableRead() {
    if (!tableReadRequested) {
      tableReadRequested = true;
      nextTableReadMs = Math.min(nextTableReadMs, clock.nowMs());
    }
  }

  /**
   * Records that another VM confirmed the table in force.
   *
   * @param version version that it confirmed; another version than that in force confirms nothing
   * @param readStart start of the read that confirmed it, or an earlier time
   */
  public void onPeerConfirmed(long version, TableFreshness.ReadStart readStart) {
    if (table.isPresent() && table.get().version() == version) {
      freshness.confirm(readStart);
      lastAnswerMs = Math.max(lastAnswerMs, readStart.steadyMs());
    }
  }

  /** Adopts the table that another VM has in force, if its version is higher. */
  public void onPeerTable(byte[] document) {
    catalog.decodeTable(document).ifPresent(this::adopt);
  }

  /**
   * Adopts the complete list of another VM.
   *
   * @param listRevision revision up to which that VM knows the endpoints; a list that is older than
   *     this VM's own is ignored
   */
  public void onPeerList(List<ListedEndpoint> endpoints, StoreRevision listRevision) {
    observeEpoch(listRevision);
    if (listRevision.compareTo(updates.revision()) >= 0) {
      listComplete = true;
      updates.applyList(List.of(new EndpointPage(endpoints, listRevision)));
    }
  }

  /**
   * Records that another VM's current list is the one that this VM has.
   *
   * @param requestedMs time at which that VM was queried, in milliseconds
   * @param listRevision revision up to which that VM knows the endpoints
   */
  public void onPeerListCurrent(long requestedMs, StoreRevision listRevision) {
    directory.onListCurrent(requestedMs);
    updates.onUnchanged(listRevision);
  }

  /**
   * Brings the list of endpoints up to date by a call to the platform that starts now or later.
   *
   * @param callback receives, exactly once, whether the list is as new as this call
   */
  public void confirmList(Consumer<Boolean> callback) {
    if (reachable && listComplete) {
      confirmer.confirm(callback);
    } else {
      callback.accept(false);
    }
  }

  /**
   * Reads which endpoints were listed before this process observed the list.
   *
   * @param callback receives, exactly once, whether the directory knows it
   */
  public void readEarlierChanges(Consumer<Boolean> callback) {
    if (reachable && listComplete) {
      earlierChanges.read(callback);
    } else {
      callback.accept(false);
    }
  }

  @Override
  public void tick() {
    changeReads.tick();
    confirmer.tick();
    earlierChanges.tick();
    if (freshness.clocksDisagree()) {
      requestTableRead();
    }
    long now = clock.nowMs();
    boolean evacuationsNeeded = !evacuationsShared || !evacuatedZones.isKnown();
    boolean tableNeeded = !passive || tableReadRequested || table.isEmpty() || evacuationsNeeded;
    if (tableNeeded && !readingTable && now >= nextTableReadMs) {
      readTable();
    }
    // While the platform fails, only one kind of read tries it again.
    boolean listNeeded = (!passive || !listComplete) && (reachable || table.isEmpty());
    if (listNeeded && !readingEndpoints && now >= nextEndpointReadMs) {
      readEndpoints();
    }
  }

  private void readTable() {
    readingTable = true;
    tableReadStartMs = clock.nowMs();
    TableFreshness.ReadStart readStart = freshness.readStart();
    catalog.readOperatorState(
        result -> {
          readingTable = false;
          onTable(result, readStart);
        });
  }

  private void onTable(CatalogResult<OperatorState> result, TableFreshness.ReadStart readStart) {
    if (result instanceof CatalogResult.Read<OperatorState> read) {
      onAnswered();
      observeEpoch(read.revision());
      tableReadRequested = false;
      nextTableReadMs = clock.nowMs() + bounds.confirmIntervalMs();
      read.value().table().ifPresent(this::adopt);
      Set<String> evacuated = read.value().evacuatedZones();
      if (readStart.steadyMs() >= settledMs) {
        evacuatedZones.adopt(evacuated, read.revision(), "read");
      } else {
        evacuatedZones.add(evacuated, read.revision());
      }
      if (table.isPresent()) {
        if (readStart.steadyMs() >= settledMs) {
          freshness.confirm(readStart);
        }
      } else {
        nextTableReadMs = clock.nowMs() + retryDelayMs();
      }
    } else {
      onFailed("table", result);
      nextTableReadMs = clock.nowMs() + retryDelayMs();
    }
  }

  private void readEndpoints() {
    readingEndpoints = true;
    long requestedMs = clock.nowMs();
    catalog.readEndpoints(
        result -> {
          readingEndpoints = false;
          onEndpoints(result, requestedMs);
        });
  }

  private void onEndpoints(CatalogResult<List<EndpointPage>> result, long requestedMs) {
    if (result instanceof CatalogResult.Read<List<EndpointPage>> read) {
      onAnswered();
      observeEpoch(read.revision());
      if (read.revision().epoch() < updates.revision().epoch()) {
        nextEndpointReadMs = clock.nowMs() + retryDelayMs();
        return;
      }
      nextEndpointReadMs = clock.nowMs() + ENDPOINT_READ_INTERVAL_MS;
      updates.applyList(read.value());
      directory.onListCurrent(requestedMs);
      listComplete = true;
      if (!watching) {
        watchUnlessPassive(read.revision());
      }
    } else {
      onFailed("endpoints", result);
      nextEndpointReadMs = clock.nowMs() + retryDelayMs();
    }
  }

  private void watchUnlessPassive(StoreRevision after) {
    if (passive) {
      return;
    }
    watching = true;
    watchedRevision = after;
    long requestedMs = clock.nowMs();
    catalog.watch(
        after.number(),
        bounds.watchWaitMs(),
        result -> {
          watching = false;
          onChanges(result, requestedMs);
        });
  }

  /**
   * Applies the changes that a watch returned, if it began in the same epoch; the numbers of
   * another epoch mean other changes.
   */
  private void onChanges(CatalogResult<CatalogChanges> result, long requestedMs) {
    long epoch = updates.revision().epoch();
    if (result instanceof CatalogResult.Read<CatalogChanges> read
        && read.revision().epoch() == epoch
        && watchedRevision.epoch() == epoch) {
      read.value().table().ifPresent(this::adopt);
      evacuatedZones.apply(read.value().evacuations(), watchedRevision, read.revision());
      updates.applyChanges(read.value().endpoints(), read.revision());
      directory.onListCurrent(requestedMs);
      watchUnlessPassive(read.revision());
      return;
    }
    if (passive) {
      return;
    }
    if (result instanceof CatalogResult.HistoryLost) {
      updates.onHistoryLost();
    }
    EventLog.event("watch-lost").with("revision", watchedRevision).with("result", result).info();
    boolean readAtOnce = !(result instanceof CatalogResult.Failed);
    nextTableReadMs = clock.nowMs() + (readAtOnce ? 0 : random.nextInt(RETRY_DELAY_MS));
    nextEndpointReadMs = nextTableReadMs;
    tick();
  }

  /** Starts a new epoch if a response shows that the store was restored from a copy. */
  private void observeEpoch(StoreRevision observed) {
    StoreRevision before = updates.revision();
    if (observed.epoch() <= before.epoch()) {
      return;
    }
    updates.startEpoch(observed.epoch());
    if (!before.equals(StoreRevision.NONE)) {
      onRestored(before, observed);
    }
  }

  private void onRestored(StoreRevision before, StoreRevision observed) {
    EventLog.event("store-restored").with("before", before).with("now", observed).warn();
    long now = clock.nowMs();
    // The last confirmation must not expire meanwhile.
    long spareMs =
        bounds.maxConfirmationAgeMs()
            - bounds.confirmIntervalMs()
            - PlatformBounds.PLATFORM_TIMEOUT_MS;
    settledMs = now + Math.max(0, Math.min(RESTORE_SETTLE_MS, spareMs));
    nextEndpointReadMs = now;
    directory.onPlatformRecovered();
  }

  private void adopt(RoutingTable candidate) {
    long versionInForce = table.map(RoutingTable::version).orElse(-1L);
    if (candidate.version() <= versionInForce) {
      return;
    }
    table = Optional.of(candidate);
    EventLog.event("configuration-adopted")
        .with("version", candidate.version())
        .with("before", versionInForce)
        .with("routes", candidate.routeCount())
        .info();
    candidate
        .findings()
        .forEach(
            finding ->
                EventLog.event("configuration-value-invalid")
                    .with("version", candidate.version())
                    .with("finding", finding)
                    .warn());
  }

  private void onAnswered() {
    long now = clock.nowMs();
    failuresInRow = 0;
    if (now - lastAnswerMs > bounds.outageThresholdMs()) {
      directory.onPlatformRecovered();
    }
    lastAnswerMs = now;
    if (!reachable) {
      reachable = true;
      EventLog.event("platform-regained").info();
    }
  }

  private void onFailed(String call, Object result) {
    failuresInRow++;
    if (reachable) {
      reachable = false;
      EventLog.event("platform-lost")
          .with("call", call)
          .with("result", result)
          .with("lastAnswerAgeMs", clock.nowMs() - lastAnswerMs)
          .warn();
    }
  }

  private long retryDelayMs() {
    int doublings = Math.min(8, Math.max(0, failuresInRow - 1));
    int delayMs = Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS << doublings);
    return delayMs + random.nextInt(RETRY_DELAY_MS);
  }
}
