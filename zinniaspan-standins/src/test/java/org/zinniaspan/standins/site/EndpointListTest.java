package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static org.zinniaspan.standins.site.RawServer.write;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.zinniaspan.forwarding.CatalogChanges;
import org.zinniaspan.forwarding.CatalogResult;
import org.zinniaspan.forwarding.EndpointPage;
import org.zinniaspan.forwarding.OperatorState;
import org.zinniaspan.forwarding.StoreRevision;
import org.zinniaspan.forwarding.ZoneEvacuation;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.platform.StoreClient;
import org.zinniaspan.transport.BufferingHttpClient;
import org.zinniaspan.transport.Reactor;

/** The revisions of what the store's client reads. */
@Timeout(60)
class EndpointListTest {

  private static final String ENTRY =
      "{\"service\":\"app\",\"address\":\"10.0.0.1:80\",\"zone\":\"zone-a\",\"version\":\"v1\","
          + "\"slots\":6,\"state\":\"ready\",\"born\":1}";

  private final Closer closer = new Closer();
  private final Reactor reactor = closer.add(Reactor.start(() -> {}));

  @AfterEach
  void stop() {
    closer.close();
  }

  private StoreClient startClient(RawServer.RequestHandler store) throws IOException {
    RawServer server = closer.add(new RawServer(store));
    InetSocketAddress address = Addresses.parse(server.address());
    return new StoreClient(
        new BufferingHttpClient(reactor, () -> 0, address), address, 1_000, Map.of());
  }

  private static String item(String id, String value) {
    return "{\"key\":\"servers/"
        + id
        + "\",\"revision\":30,\"value\":\""
        + Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8))
        + "\"}";
  }

  private static String response(String body) {
    return RawServer.jsonResponse("200 OK\r\nStore-Era: 2", body);
  }

  @Test
  void ofEachPageAreItsOwn() throws Exception {
    StoreClient client =
        startClient(
            (request, socket) -> {
              boolean second = request.line().contains("after=servers%2Fc");
              String items = second ? item("d", ENTRY) : item("a", ENTRY) + ',' + item("c", "?");
              write(
                  socket,
                  response(
                      "{\"items\":[%s],\"has_more\":%s,\"at\":%s}"
                          .formatted(items, !second, second ? 43 : 40)));
              return true;
            });
    CompletableFuture<CatalogResult<List<EndpointPage>>> result = new CompletableFuture<>();
    reactor.runLocked(() -> client.readEndpoints(result::complete));
    CatalogResult.Read<List<EndpointPage>> read =
        (CatalogResult.Read<List<EndpointPage>>) result.get(10, TimeUnit.SECONDS);
    assertThat(read.revision()).isEqualTo(new StoreRevision(2, 40));
    assertThat(read.value().get(0).endpoints().get(0).id()).isEqualTo("a");
    assertThat(read.value().get(0).lastId()).isEqualTo(Optional.of("c"));
    assertThat(read.value().get(1).endpoints().get(0).id()).isEqualTo("d");
    assertThat(read.value().get(1).lastId()).isEqualTo(Optional.empty());
    assertThat(read.value().get(1).revision()).isEqualTo(new StoreRevision(2, 43));
  }

  @Test
  void ofEachChangeAreItsOwn() throws Exception {
    StoreClient client =
        startClient(
            (request, socket) -> {
              String removal = "{\"key\":\"servers/b\",\"revision\":31,\"deleted\":true}";
              write(
                  socket,
                  response("{\"events\":[%s,%s],\"at\":45}".formatted(item("a", ENTRY), removal)));
              return true;
            });
    CompletableFuture<CatalogResult<CatalogChanges>> result = new CompletableFuture<>();
    reactor.runLocked(() -> client.watch(29, 1_000, result::complete));
    CatalogResult.Read<CatalogChanges> read =
        (CatalogResult.Read<CatalogChanges>) result.get(10, TimeUnit.SECONDS);
    assertThat(read.revision()).isEqualTo(new StoreRevision(2, 45));
    assertThat(read.value().endpoints().stream().map(CatalogChanges.AtRevision::revision).toList())
        .containsExactly(new StoreRevision(2, 30), new StoreRevision(2, 31))
        .inOrder();
  }

  @Test
  void ofTheOperatorsKeysIsThatOfTheFirstPage() throws Exception {
    StoreClient client =
        startClient(
            (request, socket) -> {
              boolean second = request.line().contains("after=op%2Fevacuate%2Fzone-a");
              String configuration =
                  item("x", "{\"version\":7}").replace("servers/x", "op/config") + ',';
              String evacuation = "{\"key\":\"op/evacuate/zone-%s\",\"value\":\"\"}";
              write(
                  socket,
                  response(
                      "{\"items\":[%s],\"has_more\":%s,\"at\":%s}"
                          .formatted(
                              second
                                  ? evacuation.formatted("b")
                                  : configuration + evacuation.formatted("a"),
                              !second,
                              second ? 43 : 40)));
              return true;
            });
    CompletableFuture<CatalogResult<OperatorState>> result = new CompletableFuture<>();
    reactor.runLocked(() -> client.readOperatorState(result::complete));
    CatalogResult.Read<OperatorState> read =
        (CatalogResult.Read<OperatorState>) result.get(10, TimeUnit.SECONDS);
    assertThat(read.revision()).isEqualTo(new StoreRevision(2, 40));
    assertThat(read.value().table().orElseThrow().version()).isEqualTo(7);
    assertThat(read.value().evacuatedZones()).containsExactly("zone-a", "zone-b");
  }

  @Test
  void ofEvacuationsAreTheirOwn() throws Exception {
    StoreClient client =
        startClient(
            (request, socket) -> {
              String begin = "{\"key\":\"op/evacuate/zone-a\",\"revision\":31,\"value\":\"\"}";
              String end = "{\"key\":\"op/evacuate/zone-a\",\"revision\":33,\"deleted\":true}";
              write(socket, response("{\"events\":[%s,%s],\"at\":45}".formatted(begin, end)));
              return true;
            });
    CompletableFuture<CatalogResult<CatalogChanges>> result = new CompletableFuture<>();
    reactor.runLocked(() -> client.watch(29, 1_000, result::complete));
    CatalogResult.Read<CatalogChanges> read =
        (CatalogResult.Read<CatalogChanges>) result.get(10, TimeUnit.SECONDS);
    assertThat(read.value().evacuations())
        .containsExactly(
            new ZoneEvacuation("zone-a", true, new StoreRevision(2, 31)),
            new ZoneEvacuation("zone-a", false, new StoreRevision(2, 33)))
        .inOrder();
  }
}
