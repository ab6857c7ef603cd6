package org.zinniaspan.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Catalog that records its calls; the test completes them with the {@code complete} methods. */
final class FakeCatalog implements Catalog {

  final Deque<Consumer<CatalogResult<Optional<RoutingTable>>>> tables = new ArrayDeque<>();
  final Deque<Consumer<CatalogResult<List<EndpointPage>>>> lists = new ArrayDeque<>();
  final Deque<Consumer<CatalogResult<CatalogChanges>>> watches = new ArrayDeque<>();
  final Deque<Consumer<CatalogResult<List<CatalogChanges.AtRevision>>>> changeReads =
      new ArrayDeque<>();
  final Deque<Long> changesAfter = new ArrayDeque<>();
  long watchedAfter;
  long epoch = 1;

  @Override
  public void readTable(Consumer<CatalogResult<Optional<RoutingTable>>> callback) {
    tables.add(callback);
  }

  @Override
  public Optional<RoutingTable> decodeTable(byte[] document) {
    return Optional.of(TestTables.table(document[0]));
  }

  @Override
  public void readEndpoints(Consumer<CatalogResult<List<EndpointPage>>> callback) {
    lists.add(callback);
  }

  @Override
  public void watch(
      long afterRevision, long waitMs, Consumer<CatalogResult<CatalogChanges>> callback) {
    watchedAfter = afterRevision;
    watches.add(callback);
  }

  @Override
  public void readChanges(
      long afterRevision, Consumer<CatalogResult<List<CatalogChanges.AtRevision>>> callback) {
    changesAfter.add(afterRevision);
    changeReads.add(callback);
  }

  void completeTableRead(RoutingTable table) {
    tables
        .remove()
        .accept(new CatalogResult.Read<>(Optional.of(table), new StoreRevision(epoch, 1)));
  }

  void completeListRead(long revision, ListedEndpoint... endpoints) {
    completeListRead(page(revision, endpoints));
  }

  void completeListRead(EndpointPage... pages) {
    lists.remove().accept(new CatalogResult.Read<>(List.of(pages), pages[0].revision()));
  }

  EndpointPage page(long revision, ListedEndpoint... endpoints) {
    return new EndpointPage(List.of(endpoints), new StoreRevision(epoch, revision));
  }

  void completeChanges(long revision, EndpointChange... changes) {
    changeReads
        .remove()
        .accept(
            new CatalogResult.Read<>(
                atRevision(revision, changes), new StoreRevision(epoch, revision)));
  }

  private List<CatalogChanges.AtRevision> atRevision(long revision, EndpointChange... changes) {
    StoreRevision at = new StoreRevision(epoch, revision);
    return Stream.of(changes).map(change -> new CatalogChanges.AtRevision(at, change)).toList();
  }

  void completeWatch(long revision, Optional<RoutingTable> table, EndpointChange... changes) {
    CatalogChanges value = new CatalogChanges(table, atRevision(revision, changes));
    watches.remove().accept(new CatalogResult.Read<>(value, new StoreRevision(epoch, revision)));
  }
}
