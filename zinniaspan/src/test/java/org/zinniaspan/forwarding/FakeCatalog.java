package org.zinniaspan.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Catalog that records its calls; the test completes them with the {@code complete} methods. */
final class FakeCatalog implements Catalog {

  final Deque<Consumer<CatalogResult<OperatorState>>> tables = new ArrayDeque<>();
  final Deque<Consumer<CatalogResult<List<EndpointPage>>>> lists = new ArrayDeque<>();
  final Deque<Consumer<CatalogResult<CatalogChanges>>> watches = new ArrayDeque<>();
  final Deque<Consumer<CatalogResult<List<CatalogChanges.AtRevision>>>> changeReads =
      new ArrayDeque<>();
  final Deque<Long> changesAfter = new ArrayDeque<>();
  long watchedAfter;
  long epoch = 1;

  @Override
  public void readOperatorState(Consumer<CatalogResult<OperatorState>> callback) {
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
    completeOperatorRead(1, table);
  }

  void completeOperatorRead(long revision, RoutingTable table, String... evacuatedZones) {
    OperatorState state = new OperatorState(Optional.of(table), Set.of(evacuatedZones));
    tables.remove().accept(new CatalogResult.Read<>(state, new StoreRevision(epoch, revision)));
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
    answerWatch(revision, new CatalogChanges(table, atRevision(revision, changes), List.of()));
  }

  /** Returns the change at a revision that begins or ends the evacuation of a zone. */
  ZoneEvacuation evacuation(long revision, String zone, boolean evacuated) {
    return new ZoneEvacuation(zone, evacuated, new StoreRevision(epoch, revision));
  }

  void completeEvacuations(long revision, ZoneEvacuation... evacuations) {
    answerWatch(revision, new CatalogChanges(Optional.empty(), List.of(), List.of(evacuations)));
  }

  private void answerWatch(long revision, CatalogChanges value) {
    watches.remove().accept(new CatalogResult.Read<>(value, new StoreRevision(epoch, revision)));
  }
}
