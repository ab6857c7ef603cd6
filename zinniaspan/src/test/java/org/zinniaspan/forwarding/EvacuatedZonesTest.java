package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EvacuatedZonesTest {

  private final FollowedCatalog followed = new FollowedCatalog();
  private final FakeCatalog catalog = followed.catalog;
  private final EvacuatedZones zones = followed.follower.evacuatedZones();

  private void read(long revision, String... evacuated) {
    while (catalog.tables.isEmpty()) {
      followed.advance(20);
    }
    catalog.completeOperatorRead(revision, TestTables.table(7), evacuated);
  }

  @Test
  void areKnownFromTheFirstRead() {
    EvacuatedZones unread =
        new CatalogFollower(
                new FakeCatalog(),
                followed::nowMs,
                new TableFreshness(followed::nowMs, followed::nowMs, 4_600),
                followed.directory,
                PlatformBounds.DEFAULT,
                new Random(1))
            .evacuatedZones();
    assertThat(unread.isKnown()).isFalse();
    assertThat(zones.isKnown()).isTrue();
    assertThat(zones.zones()).isEmpty();
  }

  @Nested
  class Watched {

    @Test
    void areAdoptedAtOnce() {
      catalog.completeEvacuations(42, catalog.evacuation(41, "zone-a", true));
      assertThat(zones.contains("zone-a")).isTrue();
      catalog.completeEvacuations(45, catalog.evacuation(44, "zone-a", false));
      assertThat(zones.zones()).isEmpty();
    }

    @Test
    void endWithTheLastOfTwoQuickChanges() {
      catalog.completeEvacuations(
          43,
          catalog.evacuation(41, "zone-a", true),
          catalog.evacuation(42, "zone-a", false),
          catalog.evacuation(43, "zone-b", true));
      assertThat(zones.zones()).containsExactly("zone-b");
    }

    @Test
    void areNotUndoneByReadsThatWereSentBefore() {
      followed.advance(5_000);
      catalog.completeEvacuations(60, catalog.evacuation(55, "zone-a", true));
      catalog.completeOperatorRead(50, TestTables.table(7));
      assertThat(zones.contains("zone-a")).isTrue();
    }

    @Test
    void areCompletedByTheNextReadIfTheWatchBeganLater() {
      assertThat(zones.revision().number()).isEqualTo(1);
      catalog.completeEvacuations(42, catalog.evacuation(41, "zone-a", true));
      assertThat(zones.revision().number()).isEqualTo(1);
      read(50, "zone-a", "zone-b");
      assertThat(zones.zones()).containsExactly("zone-a", "zone-b");
      assertThat(zones.revision().number()).isEqualTo(50);
      catalog.completeEvacuations(60);
      assertThat(zones.revision().number()).isEqualTo(60);
    }

    @Test
    void areCompletedByReadsThatTheWatchHasPassed() {
      catalog.completeEvacuations(60);
      read(50);
      assertThat(zones.revision().number()).isEqualTo(60);
    }
  }

  @Nested
  class Lasting {

    @Test
    void whileThePlatformIsAway() {
      read(50, "zone-a");
      followed.advance(60_000);
      catalog.tables.remove().accept(new CatalogResult.Failed<>("timeout"));
      followed.advance(60_000);
      assertThat(zones.contains("zone-a")).isTrue();
    }

    @Test
    void afterTheHistoryIsLostUntilReadsShowThatTheyEnded() {
      read(50, "zone-a");
      catalog.watches.remove().accept(new CatalogResult.HistoryLost<>());
      assertThat(zones.contains("zone-a")).isTrue();
      read(60);
      assertThat(zones.zones()).isEmpty();
    }

    @Test
    void inRestoredStoresThatLackThemUntilTheyAreWrittenAgain() {
      read(50, "zone-a");
      catalog.epoch = 2;
      read(20, "zone-b");
      assertThat(zones.zones()).containsExactly("zone-a", "zone-b");
      followed.advance(5_000);
      read(21, "zone-a");
      read(22, "zone-a");
      assertThat(zones.zones()).containsExactly("zone-a");
    }
  }

  @Nested
  class OfOtherVms {

    @Test
    void replaceOlderOnesOnly() {
      read(50, "zone-a");
      zones.adopt(Set.of(), new StoreRevision(1, 49), "test");
      zones.adopt(Set.of(), new StoreRevision(0, 90), "test");
      assertThat(zones.contains("zone-a")).isTrue();
      zones.adopt(Set.of("zone-b"), new StoreRevision(1, 51), "test");
      assertThat(zones.zones()).containsExactly("zone-b");
    }
  }
}
