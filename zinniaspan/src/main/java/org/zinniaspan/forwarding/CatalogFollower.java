package org.zinniaspan.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.log.EventLog;

/**
 * Keeps the routing table and the list of endpoints up to date.
 *
 * <p>A watch delivers changes at once. Since a broken watch may look the same as one without
 * changes, the table is also read at an interval, and at once if the clocks have drifted apart;
 * only such a read confirms the table. A table is adopted only if its version is higher than the
 * version in force.
 */
public final class CatalogFollower implements Ticking {

  /**
   * Interval between two complete reads of the endpoints while the watch works, in milliseconds.
   */
  private static final long ENDPOINT_READ_INTERVAL_MS = 30_000;

  /**
   * Shortest delay after a failed call, in milliseconds; a random part of up to the same length is
   * added.
   */
  private static final int RETRY_DELAY_MS = 120;

  private final Catalog catalog;
  private final Clock clock;
  private final TableFreshness freshness;
  private final EndpointDirectory directory;
  private final PlatformBounds bounds;
  private final Random random;

  private Optional<RoutingTable> table = Optional.empty();
  private boolean readingTable;
  private boolean readingEndpoints;
  private boolean watching;
  private boolean listComplete;
  private boolean reachable = true;
  private long revision;
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
    this.lastAnswerMs = clock.nowMs();
  }

  /** Returns the table in force; empty if none was read. */
  public Optional<RoutingTable> table() {
    return table;
  }

  /** Returns whether a complete list of the endpoints was read at least once. */
  public boolean isListComplete() {
    return listComplete;
  }

  /** Returns whether the last read from the platform was answered. */
  public boolean isReachable() {
    return reachable;
  }

  @Override
  public void tick() {
    long now = clock.nowMs();
    if (freshness.clocksDisagree()) {
      nextTableReadMs = Math.min(nextTableReadMs, now);
    }
    if (!readingTable && now >= nextTableReadMs) {
      readTable();
    }
    if (!readingEndpoints && now >= nextEndpointReadMs) {
      readEndpoints();
    }
  }

  private void readTable() {
    readingTable = true;
    TableFreshness.ReadStart readStart = freshness.readStart();
    catalog.readTable(
        result -> {
          readingTable = false;
          onTable(result, readStart);
        });
  }

  private void onTable(
      CatalogResult<Optional<RoutingTable>> result, TableFreshness.ReadStart readStart) {
    if (result instanceof CatalogResult.Read<Optional<RoutingTable>> read) {
      onAnswered();
      nextTableReadMs = clock.nowMs() + bounds.confirmIntervalMs();
      read.value().ifPresent(this::adopt);
      if (table.isPresent()) {
        freshness.confirm(readStart);
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
    catalog.readEndpoints(
        result -> {
          readingEndpoints = false;
          onEndpoints(result);
        });
  }

  private void onEndpoints(CatalogResult<List<ListedEndpoint>> result) {
    if (result instanceof CatalogResult.Read<List<ListedEndpoint>> read) {
      onAnswered();
      nextEndpointReadMs = clock.nowMs() + ENDPOINT_READ_INTERVAL_MS;
      directory.replaceAll(read.value());
      listComplete = true;
      if (!watching) {
        revision = read.revision();
        watch();
      }
    } else {
      onFailed("endpoints", result);
      nextEndpointReadMs = clock.nowMs() + retryDelayMs();
    }
  }

  private void watch() {
    watching = true;
    catalog.watch(
        revision,
        bounds.watchWaitMs(),
        result -> {
          watching = false;
          onChanges(result);
        });
  }

  private void onChanges(CatalogResult<CatalogChanges> result) {
    if (result instanceof CatalogResult.Read<CatalogChanges> read) {
      read.value().table().ifPresent(this::adopt);
      read.value().endpoints().forEach(directory::apply);
      revision = Math.max(revision, read.revision());
      watch();
      return;
    }
    EventLog.event("watch-lost").with("revision", revision).with("result", result).info();
    boolean readAtOnce = result instanceof CatalogResult.HistoryLost;
    nextTableReadMs = clock.nowMs() + (readAtOnce ? 0 : random.nextInt(RETRY_DELAY_MS));
    nextEndpointReadMs = nextTableReadMs;
    tick();
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
  }

  private void onAnswered() {
    long now = clock.nowMs();
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
    return RETRY_DELAY_MS + random.nextInt(RETRY_DELAY_MS);
  }
}
