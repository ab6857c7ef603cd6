package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static org.zinniaspan.forwarding.FollowedCatalog.ENDPOINT;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Answers of the platform and of other VMs that arrive in another order than they were read. */
class LateListTest {

  private static final ListedEndpoint OTHER = FollowedCatalog.endpoint("b", false);
  private static final ListedEndpoint DRAINING = FollowedCatalog.endpoint("a", true);

  private final FollowedCatalog followed = new FollowedCatalog();
  private final FakeCatalog catalog = followed.catalog;

  private void watch(long revision, EndpointChange change) {
    catalog.completeWatch(revision, Optional.empty(), change);
  }

  /**
   * Lists that were read before a change and arrive after it. Guards against an endpoint that
   * drains or is gone being listed as ready again.
   */
  @Nested
  class LateLists {

    @BeforeEach
    void beginListRead() {
      followed.beginListRead();
    }

    private EndpointPage firstPage(long revision, ListedEndpoint last) {
      return new EndpointPage(
          List.of(last), Optional.of(last.id()), new StoreRevision(1, revision));
    }

    @Test
    void leaveLaterChangesOfAnEntry() {
      watch(41, new EndpointChange.Listed(DRAINING));
      catalog.completeListRead(40, ENDPOINT);
      assertThat(followed.ready()).isEmpty();
    }

    @Test
    void listNoEndpointThatWasRemovedLater() {
      watch(41, new EndpointChange.Removed("a"));
      catalog.completeListRead(40, ENDPOINT);
      assertThat(followed.directory.size()).isEqualTo(0);
    }

    @Test
    void keepEndpointsThatWereAddedLater() {
      watch(41, new EndpointChange.Listed(OTHER));
      catalog.completeListRead(40, ENDPOINT);
      assertThat(followed.ready()).containsExactly("a", "b");
    }

    @Test
    void leaveChangesBetweenTheirPages() {
      watch(43, new EndpointChange.Listed(DRAINING));
      watch(44, new EndpointChange.Removed("b"));
      catalog.completeListRead(firstPage(40, ENDPOINT), catalog.page(43, OTHER));
      assertThat(followed.ready()).isEmpty();
      assertThat(followed.directory.size()).isEqualTo(1);
    }

    @Test
    void leaveWhatLaterPagesShowToEarlierChanges() {
      catalog.completeListRead(firstPage(40, ENDPOINT), catalog.page(43, OTHER));
      watch(42, new EndpointChange.Removed("b"));
      assertThat(followed.ready()).containsExactly("a", "b");
      watch(45, new EndpointChange.Removed("b"));
      assertThat(followed.ready()).containsExactly("a");
    }

    @Test
    void leaveWhatLaterPagesDoNotShowToEarlierChanges() {
      watch(41, new EndpointChange.Listed(OTHER));
      catalog.completeListRead(firstPage(42, ENDPOINT), catalog.page(45));
      followed.follower.onPeerList(List.of(ENDPOINT, OTHER), new StoreRevision(1, 44));
      assertThat(followed.ready()).containsExactly("a");
    }

    @Test
    void areAppliedToEntriesThatDidNotChangeLater() {
      watch(41, new EndpointChange.Listed(OTHER));
      catalog.completeListRead(40);
      assertThat(followed.ready()).containsExactly("b");
    }

    @Test
    void doNotCancelRemovalsInTheGracePeriod() {
      followed.directory.onPlatformRecovered();
      watch(41, new EndpointChange.Removed("a"));
      catalog.completeListRead(40, ENDPOINT);
      followed.pass(2_300);
      followed.directory.tick();
      assertThat(followed.directory.size()).isEqualTo(0);
    }

    @Test
    void leaveTheLaterListOfAnotherVm() {
      followed.follower.onPeerList(List.of(DRAINING), new StoreRevision(1, 50));
      catalog.completeListRead(45, ENDPOINT, OTHER);
      assertThat(followed.ready()).isEmpty();
      assertThat(followed.directory.size()).isEqualTo(1);
      assertThat(followed.follower.revision()).isEqualTo(new StoreRevision(1, 50));
    }

    @Test
    void areReplacedByTheNextOne() {
      watch(41, new EndpointChange.Removed("a"));
      catalog.completeListRead(40, ENDPOINT);
      followed.beginListRead();
      catalog.completeListRead(42, ENDPOINT);
      assertThat(followed.ready()).containsExactly("a");
    }

    @Test
    void areAppliedOnceTheHistoryIsLost() {
      watch(41, new EndpointChange.Listed(DRAINING));
      catalog.watches.remove().accept(new CatalogResult.HistoryLost<>());
      catalog.completeListRead(30, OTHER);
      assertThat(followed.ready()).containsExactly("b");
      assertThat(catalog.watchedAfter).isEqualTo(30);
    }
  }

  /** Changes that a watch returns after a list that contains later ones. */
  @Nested
  class LateChanges {

    @Test
    void leaveTheLaterListOfAnotherVm() {
      followed.follower.onPeerList(List.of(), new StoreRevision(1, 50));
      catalog.completeWatch(45, Optional.empty(), new EndpointChange.Listed(ENDPOINT));
      assertThat(followed.directory.size()).isEqualTo(0);
    }

    @Test
    void ofTheTableLeaveTheLaterOneInForce() {
      followed.advance(1_500);
      catalog.completeWatch(41, Optional.of(TestTables.table(9)));
      catalog.completeTableRead(TestTables.table(7));
      assertThat(followed.follower.table().orElseThrow().version()).isEqualTo(9);
    }
  }
}
