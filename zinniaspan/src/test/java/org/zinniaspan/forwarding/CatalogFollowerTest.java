package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
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

  /**
   * Lists that were read before a change and arrive after it. Guards against an endpoint that
   * drains or is gone being listed as ready again.
   */
  @Nested
  class LateLists {

    private static final ListedEndpoint OTHER =
        new ListedEndpoint("b", "service", "10.0.0.2:80", "zone-a", "v1", 6, false, 1);
    private static final ListedEndpoint DRAINING =
        new ListedEndpoint("a", "service", "10.0.0.1:80", "zone-a", "v1", 6, true, 1);

    /** Lets the next list read begin, while the platform answers all reads of the table. */
    @BeforeEach
    void beginListRead() {
      while (catalog.lists.isEmpty()) {
        advance(20);
        if (!catalog.tables.isEmpty()) {
          catalog.completeTableRead(TestTables.table(7));
        }
      }
    }

    private void watch(long revision, EndpointChange change) {
      catalog.completeWatch(revision, Optional.empty(), change);
    }

    private EndpointPage firstPage(long revision, ListedEndpoint last) {
      return new EndpointPage(
          List.of(last), Optional.of(last.id()), new StoreRevision(1, revision));
    }

    private List<String> ready() {
      return directory.ready("service").stream().map(e -> e.listed().id()).sorted().toList();
    }

    @Test
    void leaveLaterChangesOfAnEntry() {
      watch(41, new EndpointChange.Listed(DRAINING));
      catalog.completeListRead(40, ENDPOINT);
      assertThat(ready()).isEmpty();
    }

    @Test
    void listNoEndpointThatWasRemovedLater() {
      watch(41, new EndpointChange.Removed("a"));
      catalog.completeListRead(40, ENDPOINT);
      assertThat(directory.size()).isEqualTo(0);
    }

    @Test
    void keepEndpointsThatWereAddedLater() {
      watch(41, new EndpointChange.Listed(OTHER));
      catalog.completeListRead(40, ENDPOINT);
      assertThat(ready()).containsExactly("a", "b");
    }

    @Test
    void leaveChangesBetweenTheirPages() {
      watch(43, new EndpointChange.Listed(DRAINING));
      watch(44, new EndpointChange.Removed("b"));
      catalog.completeListRead(firstPage(40, ENDPOINT), catalog.page(43, OTHER));
      assertThat(ready()).isEmpty();
      assertThat(directory.size()).isEqualTo(1);
    }

    @Test
    void leaveWhatLaterPagesShowToEarlierChanges() {
      catalog.completeListRead(firstPage(40, ENDPOINT), catalog.page(43, OTHER));
      watch(42, new EndpointChange.Removed("b"));
      assertThat(ready()).containsExactly("a", "b");
      watch(45, new EndpointChange.Removed("b"));
      assertThat(ready()).containsExactly("a");
    }

    @Test
    void leaveWhatLaterPagesDoNotShowToEarlierChanges() {
      watch(41, new EndpointChange.Listed(OTHER));
      catalog.completeListRead(firstPage(42, ENDPOINT), catalog.page(45));
      follower.onPeerList(List.of(ENDPOINT, OTHER), new StoreRevision(1, 44));
      assertThat(ready()).containsExactly("a");
    }

    @Test
    void areAppliedToEntriesThatDidNotChangeLater() {
      watch(41, new EndpointChange.Listed(OTHER));
      catalog.completeListRead(40);
      assertThat(ready()).containsExactly("b");
    }

    @Test
    void doNotCancelRemovalsInTheGracePeriod() {
      directory.onPlatformRecovered();
      watch(41, new EndpointChange.Removed("a"));
      catalog.completeListRead(40, ENDPOINT);
      nowMs += 2_300;
      directory.tick();
      assertThat(directory.size()).isEqualTo(0);
    }

    @Test
    void leaveTheLaterListOfAnotherVm() {
      follower.onPeerList(List.of(DRAINING), new StoreRevision(1, 50));
      catalog.completeListRead(45, ENDPOINT, OTHER);
      assertThat(ready()).isEmpty();
      assertThat(directory.size()).isEqualTo(1);
      assertThat(follower.revision()).isEqualTo(new StoreRevision(1, 50));
    }

    @Test
    void areReplacedByTheNextOne() {
      watch(41, new EndpointChange.Removed("a"));
      catalog.completeListRead(40, ENDPOINT);
      beginListRead();
      catalog.completeListRead(42, ENDPOINT);
      assertThat(ready()).containsExactly("a");
    }

    @Test
    void areAppliedOnceTheHistoryIsLost() {
      watch(41, new EndpointChange.Listed(DRAINING));
      catalog.watches.remove().accept(new CatalogResult.HistoryLost<>());
      catalog.completeListRead(30, OTHER);
      assertThat(ready()).containsExactly("b");
      assertThat(catalog.watchedAfter).isEqualTo(30);
    }
  }

  /** Changes that a watch returns after a list that contains later ones. */
  @Nested
  class LateChanges {

    @Test
    void leaveTheLaterListOfAnotherVm() {
      follower.onPeerList(List.of(), new StoreRevision(1, 50));
      catalog.completeWatch(45, Optional.empty(), new EndpointChange.Listed(ENDPOINT));
      assertThat(directory.size()).isEqualTo(0);
    }

    @Test
    void ofTheTableLeaveTheLaterOneInForce() {
      advance(1_500);
      catalog.completeWatch(41, Optional.of(TestTables.table(9)));
      catalog.completeTableRead(TestTables.table(7));
      assertThat(version()).isEqualTo(9);
    }
  }

  @Nested
  class ListConfirmation {

    private final List<Boolean> results = new ArrayList<>();

    /** Completes the oldest read of changes after a revision. */
    private void completeChanges(long expectedAfter, long at, EndpointChange... changes) {
      assertThat(catalog.changesAfter.remove()).isEqualTo(expectedAfter);
      catalog.completeChanges(at, changes);
    }

    private void loseHistory(long expectedAfter) {
      assertThat(catalog.changesAfter.remove()).isEqualTo(expectedAfter);
      catalog.changeReads.remove().accept(new CatalogResult.HistoryLost<>());
    }

    @Test
    void appliesTheChangesSinceTheList() {
      nowMs += 40_000;
      directory.onListCurrent(nowMs);
      nowMs += 2_000;
      follower.confirmList(results::add);
      completeChanges(40, 41, new EndpointChange.Removed("a"));
      assertThat(directory.size()).isEqualTo(0);
      assertThat(follower.revision()).isEqualTo(new StoreRevision(1, 41));
    }

    @Test
    void readsEarlierChangesBackToTheOldestOnesThatAreKept() {
      follower.confirmList(results::add);
      completeChanges(40, 40);
      completeChanges(39, 40);
      completeChanges(32, 40, new EndpointChange.Removed("gone"));
      loseHistory(0);
      loseHistory(16);
      loseHistory(24);
      loseHistory(28);
      completeChanges(30, 40, new EndpointChange.Removed("gone"));
      loseHistory(29);
      assertThat(results).containsExactly(true);
      assertThat(directory.observedMs()).isAtLeast(EndpointDirectory.VERSION_HISTORY_MS);
      assertThat(directory.recentVersions("service")).containsExactly("v1", "(unknown)");
    }

    @Test
    void knowsTheVersionsOfEarlierChanges() {
      ListedEndpoint gone =
          new ListedEndpoint("gone", "service", "10.0.0.9:80", "zone-a", "v0", 6, true, 1);
      follower.confirmList(results::add);
      completeChanges(40, 40);
      completeChanges(39, 40, new EndpointChange.Listed(gone), new EndpointChange.Removed("gone"));
      loseHistory(32);
      loseHistory(35);
      loseHistory(37);
      loseHistory(38);
      assertThat(results).containsExactly(true);
      assertThat(directory.recentVersions("service")).containsExactly("v1", "v0");
    }

    @Test
    void isMadeAgainForRequestsThatCameLater() {
      follower.confirmList(results::add);
      follower.confirmList(results::add);
      completeChanges(40, 40);
      loseHistory(39);
      assertThat(results).containsExactly(true);
      completeChanges(40, 40);
      assertThat(results).containsExactly(true, true);
    }

    @Test
    void isReadAgainSoonIfTheAnswerIsLost() {
      follower.confirmList(results::add);
      advance(100);
      assertThat(catalog.changeReads).hasSize(2);
      catalog.changeReads.removeLast();
      catalog.changesAfter.removeLast();
      completeChanges(40, 40);
      loseHistory(39);
      assertThat(results).containsExactly(true);
    }

    @Test
    void failsAfterItsTimeout() {
      follower.confirmList(results::add);
      advance(400);
      assertThat(results).containsExactly(false);
      assertThat(directory.observedMs()).isLessThan(EndpointDirectory.VERSION_HISTORY_MS);
    }

    @Test
    void readsTheListIfTheChangesSinceAreLost() {
      follower.confirmList(results::add);
      loseHistory(40);
      catalog.completeListRead(70);
      assertThat(directory.size()).isEqualTo(0);
      loseHistory(69);
      assertThat(results).containsExactly(true);
    }

    @Test
    void failsAtOnceWhileThePlatformFails() {
      advance(1_500);
      catalog.tables.remove().accept(new CatalogResult.Failed<>("status 503"));
      follower.confirmList(results::add);
      assertThat(results).containsExactly(false);
      assertThat(catalog.changeReads).isEmpty();
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
