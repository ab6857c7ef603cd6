package org.zinniaspan.forwarding;

import java.util.List;
import java.util.Random;

/** A follower of a {@link FakeCatalog} that has read its table and a list with one endpoint. */
final class FollowedCatalog {

  static final ListedEndpoint ENDPOINT = endpoint("a", false);

  private long nowMs = 50_000;
  final FakeCatalog catalog = new FakeCatalog();
  final EndpointDirectory directory = new EndpointDirectory(() -> nowMs);
  final CatalogFollower follower =
      new CatalogFollower(
          catalog,
          () -> nowMs,
          new TableFreshness(() -> nowMs, () -> nowMs, 4_600),
          directory,
          PlatformBounds.DEFAULT,
          new Random(1));

  /** Reads the table, and the list at revision 40, from which it is watched. */
  FollowedCatalog() {
    follower.tick();
    catalog.completeTableRead(TestTables.table(7));
    catalog.completeListRead(40, ENDPOINT);
  }

  static ListedEndpoint endpoint(String id, boolean draining) {
    return new ListedEndpoint(id, "service", "10.0.0.1:80", "zone-a", "v1", 6, draining, 1);
  }

  long nowMs() {
    return nowMs;
  }

  /** Lets the time pass without calls of the follower. */
  void pass(long ms) {
    nowMs += ms;
  }

  /** Lets the time pass; the platform answers nothing meanwhile. */
  void advance(long ms) {
    for (long end = nowMs + ms; nowMs < end; nowMs += 20) {
      follower.tick();
    }
  }

  /** Lets the next read of the list begin, while the platform answers all reads of the table. */
  void beginListRead() {
    while (catalog.lists.isEmpty()) {
      advance(20);
      if (!catalog.tables.isEmpty()) {
        catalog.completeTableRead(TestTables.table(7));
      }
    }
  }

  List<String> ready() {
    return directory.ready("service").stream().map(e -> e.listed().id()).sorted().toList();
  }
}
