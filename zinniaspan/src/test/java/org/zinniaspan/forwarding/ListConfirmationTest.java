package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a decision by a list that is older than what the decision is about. */
class ListConfirmationTest {

  private final FollowedCatalog followed = new FollowedCatalog();
  private final FakeCatalog catalog = followed.catalog;

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
    followed.pass(40_000);
    followed.directory.onListCurrent(followed.nowMs());
    followed.pass(2_000);
    followed.follower.confirmList(results::add);
    completeChanges(40, 41, new EndpointChange.Removed("a"));
    assertThat(followed.directory.size()).isEqualTo(0);
    assertThat(followed.follower.revision()).isEqualTo(new StoreRevision(1, 41));
  }

  /** Guards against a watch that goes on after changes of the table that it has not returned. */
  @Test
  void leavesTheRevisionFromWhichTheWatchGoesOn() {
    followed.follower.confirmList(results::add);
    completeChanges(40, 50);
    catalog.completeWatch(41, Optional.empty());
    assertThat(catalog.watchedAfter).isEqualTo(41);
    assertThat(followed.follower.revision()).isEqualTo(new StoreRevision(1, 50));
  }

  @Test
  void isMadeAgainForRequestsThatCameLater() {
    followed.follower.confirmList(results::add);
    followed.follower.confirmList(results::add);
    completeChanges(40, 40);
    assertThat(results).containsExactly(true);
    completeChanges(40, 40);
    assertThat(results).containsExactly(true, true);
  }

  @Test
  void isReadAgainSoonIfTheAnswerIsLost() {
    followed.follower.confirmList(results::add);
    followed.advance(100);
    assertThat(catalog.changeReads).hasSize(2);
    catalog.changeReads.removeLast();
    catalog.changesAfter.removeLast();
    completeChanges(40, 40);
    assertThat(results).containsExactly(true);
  }

  @Test
  void failsAfterItsTimeout() {
    followed.follower.confirmList(results::add);
    followed.advance(400);
    assertThat(results).containsExactly(false);
  }

  @Test
  void readsTheListIfTheChangesSinceAreLost() {
    followed.follower.confirmList(results::add);
    loseHistory(40);
    catalog.completeListRead(70);
    assertThat(followed.directory.size()).isEqualTo(0);
    assertThat(results).containsExactly(true);
  }

  @Test
  void failsAtOnceWhileThePlatformFails() {
    followed.advance(1_500);
    catalog.tables.remove().accept(new CatalogResult.Failed<>("status 503"));
    followed.follower.confirmList(results::add);
    assertThat(results).containsExactly(false);
    assertThat(catalog.changeReads).isEmpty();
  }

  /** Which endpoints were listed before this process observed the list. */
  @Nested
  class EarlierChangesOfTheList {

    @Test
    void readsEarlierChangesBackToTheOldestOnesThatAreKept() {
      followed.follower.readEarlierChanges(results::add);
      completeChanges(39, 40);
      completeChanges(32, 40, new EndpointChange.Removed("gone"));
      loseHistory(0);
      loseHistory(16);
      loseHistory(24);
      loseHistory(28);
      completeChanges(30, 40, new EndpointChange.Removed("gone"));
      loseHistory(29);
      assertThat(results).containsExactly(true);
      assertThat(followed.directory.observedMs()).isAtLeast(EndpointDirectory.VERSION_HISTORY_MS);
      assertThat(followed.directory.recentVersions("service")).containsExactly("v1", "(unknown)");
    }

    @Test
    void knowsTheVersionsOfEarlierChanges() {
      ListedEndpoint gone =
          new ListedEndpoint("gone", "service", "10.0.0.9:80", "zone-a", "v0", 6, true, 1);
      followed.follower.readEarlierChanges(results::add);
      completeChanges(39, 40, new EndpointChange.Listed(gone), new EndpointChange.Removed("gone"));
      loseHistory(32);
      loseHistory(35);
      loseHistory(37);
      loseHistory(38);
      assertThat(results).containsExactly(true);
      assertThat(followed.directory.recentVersions("service")).containsExactly("v1", "v0");
    }

    @Test
    void areReadOnceForAllRequests() {
      followed.follower.readEarlierChanges(results::add);
      followed.follower.readEarlierChanges(results::add);
      loseHistory(39);
      assertThat(results).containsExactly(true, true);
      assertThat(catalog.changeReads).isEmpty();
    }

    @Test
    void areNotReadOnceTheListWasObservedForLong() {
      followed.follower.readEarlierChanges(results::add);
      loseHistory(39);
      followed.follower.readEarlierChanges(results::add);
      assertThat(results).containsExactly(true, true);
      assertThat(catalog.changeReads).isEmpty();
    }

    @Test
    void stayUnknownAfterTheTimeout() {
      followed.follower.readEarlierChanges(results::add);
      followed.advance(400);
      assertThat(results).containsExactly(false);
      assertThat(followed.directory.observedMs()).isLessThan(EndpointDirectory.VERSION_HISTORY_MS);
    }
  }
}
