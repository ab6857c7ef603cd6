package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CatalogFollowerTest {

  private static final ListedEndpoint ENDPOINT =
      new ListedEndpoint("a", "service", "10.0.0.1:80", "zone-a", "v1", 6, false, 1);

  private long nowMs = 50_000;
  private final FakeCatalog catalog = new FakeCatalog();
  private final TableFreshness freshness = new TableFreshness(() -> nowMs, () -> nowMs, 4_600);
  private final EndpointDirectory directory = new EndpointDirectory(() -> nowMs);
  private final CatalogFollower follower =
      new CatalogFollower(
          catalog, () -> nowMs, freshness, directory, PlatformBounds.DEFAULT, new Random(1));

  @BeforeEach
  void readOnce() {
    follower.tick();
    catalog.completeTableRead(TestTables.table(7));
    catalog.completeListRead(40, ENDPOINT);
  }

  private void advance(long ms) {
    for (long end = nowMs + ms; nowMs < end; nowMs += 20) {
      follower.tick();
    }
  }

  private long version() {
    return follower.table().map(RoutingTable::version).orElse(-1L);
  }

  @Test
  void watchesFromTheRevisionOfTheList() {
    assertThat(catalog.watchedAfter).isEqualTo(40);
    catalog.completeWatch(43, Optional.empty());
    assertThat(catalog.watchedAfter).isEqualTo(43);
  }

  @Nested
  class Versions {

    @Test
    void areAdoptedFromTheWatchAtOnce() {
      catalog.completeWatch(41, Optional.of(TestTables.table(9)));
      assertThat(version()).isEqualTo(9);
    }

    @Test
    void neverDecrease() {
      catalog.completeWatch(41, Optional.of(TestTables.table(5)));
      assertThat(version()).isEqualTo(7);
      advance(1_500);
      catalog.completeTableRead(TestTables.table(6));
      assertThat(version()).isEqualTo(7);
    }
  }

  @Nested
  class Confirmation {

    @Test
    void comesFromReadsOnly() {
      advance(1_000);
      catalog.completeWatch(41, Optional.empty());
      assertThat(freshness.ageMs()).isAtLeast(1_000);
      advance(600);
      catalog.completeTableRead(TestTables.table(7));
      assertThat(freshness.ageMs()).isAtMost(600);
    }

    @Test
    void isRequestedAtTheConfirmInterval() {
      advance(1_500);
      assertThat(catalog.tables).hasSize(1);
    }

    @Test
    void isRetriedSoonAfterOneFailure() {
      advance(1_500);
      catalog.tables.remove().accept(new CatalogResult.Failed<>("status 503"));
      advance(300);
      assertThat(catalog.tables).hasSize(1);
      assertThat(version()).isEqualTo(7);
    }
  }

  @Nested
  class LostHistory {

    @Test
    void triggersOneCompleteReadAtOnce() {
      catalog.watches.remove().accept(new CatalogResult.HistoryLost<>());
      assertThat(catalog.tables).hasSize(1);
      catalog.completeListRead(90);
      assertThat(directory.size()).isEqualTo(0);
      assertThat(catalog.watchedAfter).isEqualTo(90);
    }
  }

  @Nested
  class RestoredStore {

    /** Reads the table from the store after it was restored from a copy of an earlier revision. */
    @BeforeEach
    void restore() {
      advance(1_500);
      catalog.epoch = 2;
      catalog.completeTableRead(TestTables.table(6));
      advance(40);
    }

    @Test
    void isReadCompletelyAtOnce() {
      assertThat(catalog.lists).hasSize(1);
      catalog.completeListRead(10);
      assertThat(follower.revision()).isEqualTo(new StoreRevision(2, 10));
    }

    @Test
    void takesNoVersionBack() {
      assertThat(version()).isEqualTo(7);
    }

    @Test
    void losesNoEndpointsThatAreWrittenAgainSoon() {
      catalog.completeListRead(10);
      assertThat(directory.size()).isEqualTo(1);
      advance(1_000);
      catalog.completeWatch(11, Optional.empty());
      nowMs += 2_300;
      directory.tick();
      assertThat(directory.size()).isEqualTo(0);
    }

    @Test
    void isWatchedFromTheRevisionOfItsNewEpoch() {
      catalog.completeListRead(10, ENDPOINT);
      EndpointChange removal = new EndpointChange.Removed("a");
      catalog.completeWatch(44, Optional.empty(), removal);
      assertThat(directory.size()).isEqualTo(1);
      assertThat(catalog.lists).hasSize(1);
      catalog.completeListRead(12, ENDPOINT);
      assertThat(catalog.watchedAfter).isEqualTo(12);
    }

    @Test
    void confirmsNothingUntilItHasSettled() {
      assertThat(freshness.ageMs()).isAtLeast(1_500);
      advance(1_500);
      catalog.completeTableRead(TestTables.table(7));
      assertThat(freshness.ageMs()).isAtLeast(3_000);
      advance(1_500);
      catalog.completeTableRead(TestTables.table(7));
      assertThat(freshness.ageMs()).isAtMost(100);
    }

    @Test
    void countsInItsNewEraForListsOfOtherVms() {
      follower.onPeerList(List.of(), new StoreRevision(1, 90));
      assertThat(follower.revision().epoch()).isEqualTo(2);
      follower.onPeerList(List.of(ENDPOINT), new StoreRevision(2, 11));
      assertThat(follower.revision()).isEqualTo(new StoreRevision(2, 11));
    }
  }

  @Nested
  class WhileAnotherVmReads {

    private final TableFreshness.ReadStart earlier = new TableFreshness.ReadStart(49_000, 0);

    @BeforeEach
    void becomePassive() {
      follower.setPassive(true);
    }

    @Test
    void nothingIsReadOrWatched() {
      catalog.completeWatch(41, Optional.empty());
      advance(30_000);
      assertThat(catalog.tables).isEmpty();
      assertThat(catalog.lists).isEmpty();
      assertThat(catalog.watches).isEmpty();
    }

    @Test
    void theTableInForceIsConfirmedWithTheAgeOfThatRead() {
      TableFreshness.ReadStart later = new TableFreshness.ReadStart(50_500, 0);
      nowMs = 51_000;
      follower.onPeerConfirmed(7, later);
      assertThat(freshness.ageMs()).isEqualTo(500);
      follower.onPeerConfirmed(7, earlier);
      assertThat(freshness.ageMs()).isEqualTo(500);
    }

    @Test
    void anotherVersionConfirmsNothing() {
      nowMs = 52_000;
      follower.onPeerConfirmed(8, new TableFreshness.ReadStart(51_900, 0));
      assertThat(freshness.ageMs()).isEqualTo(2_000);
    }

    @Test
    void newVersionsOfAnotherVmAreAdopted() {
      follower.onPeerTable(new byte[] {9});
      assertThat(version()).isEqualTo(9);
      follower.onPeerTable(new byte[] {8});
      assertThat(version()).isEqualTo(9);
    }

    @Test
    void newVersionsAreReadOnRequest() {
      follower.requestTableRead();
      follower.tick();
      catalog.completeTableRead(TestTables.table(8));
      advance(5_000);
      assertThat(version()).isEqualTo(8);
      assertThat(catalog.tables).isEmpty();
    }

    @Test
    void anOlderListIsIgnored() {
      follower.onPeerList(List.of(), new StoreRevision(1, 39));
      assertThat(directory.size()).isEqualTo(1);
      follower.onPeerList(List.of(), new StoreRevision(1, 41));
      assertThat(directory.size()).isEqualTo(0);
    }

    @Test
    void everythingIsReadAtOnceWhenItReadsNoLonger() {
      catalog.completeWatch(41, Optional.empty());
      advance(2_000);
      follower.setPassive(false);
      follower.tick();
      assertThat(catalog.tables).hasSize(1);
      assertThat(catalog.lists).hasSize(1);
      catalog.completeListRead(60, ENDPOINT);
      assertThat(catalog.watchedAfter).isEqualTo(60);
    }
  }

  @Nested
  class Outage {

    @Test
    void isMetWithIncreasingDelays() {
      int failures = 0;
      for (long end = nowMs + 10_000; nowMs < end; nowMs += 20) {
        follower.tick();
        if (!catalog.tables.isEmpty()) {
          catalog.tables.remove().accept(new CatalogResult.Failed<>("status 503"));
          failures++;
        }
      }
      assertThat(failures).isAtMost(25);
      assertThat(failures).isAtLeast(10);
    }

    @Test
    void keepsExpiredEndpointsForTheGracePeriod() {
      advance(1_500);
      catalog.tables.remove().accept(new CatalogResult.Failed<>("no response in time"));
      catalog.watches.remove().accept(new CatalogResult.Failed<>("no response in time"));
      advance(2_000);
      assertThat(catalog.lists).isEmpty();
      catalog.completeTableRead(TestTables.table(7));
      follower.tick();
      catalog.completeListRead(90);
      assertThat(directory.size()).isEqualTo(1);
      nowMs += 2_300;
      directory.tick();
      assertThat(directory.size()).isEqualTo(0);
    }
  }
}
