package org.zinniaspan.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.zinniaspan.forwarding.Catalog;
import org.zinniaspan.forwarding.CatalogChanges;
import org.zinniaspan.forwarding.CatalogResult;
import org.zinniaspan.forwarding.EndpointChange;
import org.zinniaspan.forwarding.EndpointPage;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.OperatorState;
import org.zinniaspan.forwarding.RoutingTable;
import org.zinniaspan.forwarding.StoreRevision;
import org.zinniaspan.forwarding.ZoneEvacuation;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.transport.BufferingHttpClient;

/**
 * Reads and watches the platform's key-value store over HTTP; no other class accesses the store.
 */
public final class StoreClient implements Catalog {

  private static final String OPERATOR_PREFIX = "op/";
  private static final String CONFIGURATION_KEY = "op/config";
  private static final String EVACUATION_PREFIX = "op/evacuate/";
  private static final String ENDPOINT_PREFIX = "servers/";

  /** Largest length of the reason for which an entry is ignored, in the log, in characters. */
  private static final int MAX_REASON_LENGTH = 200;

  private final BufferingHttpClient httpClient;
  private final String host;
  private final long timeoutMs;
  private final ObjectMapper json = new ObjectMapper();
  private final Map<String, String> regions;
  private final Set<String> reportedZones = new HashSet<>();
  private long lastEpoch;

  /**
   * Creates a client.
   *
   * @param httpClient sends the requests to the store
   * @param address address of the store, for the Host header
   * @param timeoutMs longest time until a response, in milliseconds; a watch may wait for longer by
   *     its own wait time
   * @param regions region of each availability zone of the deployment, by the zone's name; others
   *     in what the operator writes are reported
   */
  public StoreClient(
      BufferingHttpClient httpClient,
      InetSocketAddress address,
      long timeoutMs,
      Map<String, String> regions) {
    this.regions = Map.copyOf(regions);
    this.httpClient = httpClient;
    this.host = address.getHostString() + ':' + address.getPort();
    this.timeoutMs = timeoutMs;
  }

  @Override
  public void readOperatorState(Consumer<CatalogResult<OperatorState>> callback) {
    new OperatorRead(callback).readPage("");
  }

  /**
   * A read of what the operator wrote, page by page. The result has the revision of the first page;
   * the others are as new or newer.
   */
  private final class OperatorRead {
    private final Consumer<CatalogResult<OperatorState>> callback;
    private final Set<String> evacuatedZones = new HashSet<>();
    private Optional<RoutingTable> table = Optional.empty();
    private Optional<StoreRevision> firstRevision = Optional.empty();

    OperatorRead(Consumer<CatalogResult<OperatorState>> callback) {
      this.callback = callback;
    }

    /** Reads the page after the one that the query's last part names, and then the next ones. */
    void readPage(String after) {
      get(
          "/kv-range?prefix=" + encode(OPERATOR_PREFIX) + after,
          timeoutMs,
          result -> {
            CatalogResult<Optional<String>> page = decode(result, this::add);
            if (!(page instanceof CatalogResult.Read<Optional<String>> read)) {
              callback.accept(new CatalogResult.Failed<>(page.toString()));
              return;
            }
            StoreRevision first = firstRevision.orElse(read.revision());
            firstRevision = Optional.of(first);
            if (first.epoch() != read.revision().epoch()) {
              callback.accept(new CatalogResult.Failed<>("restored between two pages"));
            } else if (read.value().isPresent()) {
              readPage("&after=" + encode(read.value().get()));
            } else {
              callback.accept(
                  new CatalogResult.Read<>(new OperatorState(table, evacuatedZones), first));
            }
          });
    }

    /** Adds a page; returns its last key if there are more pages. */
    private CatalogResult<Optional<String>> add(JsonNode body, long epoch) throws IOException {
      Optional<String> lastKey = Optional.empty();
      for (JsonNode item : body.path("items")) {
        String key = item.path("key").asText();
        if (key.equals(CONFIGURATION_KEY)) {
          table = Optional.of(decodeDocument(valueBytes(item)));
        }
        evacuatedZone(key).ifPresent(evacuatedZones::add);
        lastKey = Optional.of(key);
      }
      boolean hasMore = body.path("has_more").asBoolean();
      return new CatalogResult.Read<>(
          lastKey.filter(key -> hasMore), new StoreRevision(epoch, body.path("at").asLong()));
    }
  }

  /**
   * Returns the zone whose evacuation a key requests, whatever its value; empty for other keys. An
   * unknown zone is reported once and kept, as endpoints may state it.
   */
  private Optional<String> evacuatedZone(String key) {
    if (!key.startsWith(EVACUATION_PREFIX)) {
      return Optional.empty();
    }
    String zone = key.substring(EVACUATION_PREFIX.length());
    if (!regions.containsKey(zone) && reportedZones.add(zone)) {
      EventLog.event("evacuation-of-unknown-zone")
          .with("key", key)
          .with("zones", new TreeSet<>(regions.keySet()))
          .warn();
    }
    return zone.isEmpty() ? Optional.empty() : Optional.of(zone);
  }

  @Override
  public void readEndpoints(Consumer<CatalogResult<List<EndpointPage>>> callback) {
    readPage(new ArrayList<>(), Optional.empty(), callback);
  }

  /**
   * Reads one page of endpoints, and then the following ones. The pages are not a consistent
   * snapshot, so the watch starts from the revision of the first page.
   */
  private void readPage(
      List<EndpointPage> pages,
      Optional<String> afterKey,
      Consumer<CatalogResult<List<EndpointPage>>> callback) {
    String after = afterKey.map(key -> "&after=" + encode(key)).orElse("");
    get(
        "/kv-range?prefix=" + encode(ENDPOINT_PREFIX) + after,
        timeoutMs,
        result -> {
          CatalogResult<JsonNode> page =
              decode(
                  result,
                  (body, epoch) ->
                      new CatalogResult.Read<>(
                          body, new StoreRevision(epoch, body.path("at").asLong())));
          if (!(page instanceof CatalogResult.Read<JsonNode> read)) {
            callback.accept(new CatalogResult.Failed<>(page.toString()));
            return;
          }
          if (!pages.isEmpty() && pages.get(0).revision().epoch() != read.revision().epoch()) {
            callback.accept(new CatalogResult.Failed<>("restored between two pages"));
            return;
          }
          JsonNode items = read.value().path("items");
          List<ListedEndpoint> found = new ArrayList<>();
          items.forEach(item -> endpoint(item).ifPresent(found::add));
          if (read.value().path("has_more").asBoolean() && !items.isEmpty()) {
            String last = items.get(items.size() - 1).path("key").asText();
            pages.add(new EndpointPage(found, Optional.of(id(last)), read.revision()));
            readPage(pages, Optional.of(last), callback);
          } else {
            pages.add(new EndpointPage(found, read.revision()));
            callback.accept(new CatalogResult.Read<>(pages, pages.get(0).revision()));
          }
        });
  }

  @Override
  public void watch(
      long afterRevision, long waitMs, Consumer<CatalogResult<CatalogChanges>> callback) {
    get(
        "/kv-watch?prefix=&after=" + afterRevision + "&wait_ms=" + waitMs,
        waitMs + timeoutMs,
        result -> callback.accept(decode(result, this::changes)));
  }

  @Override
  public void readChanges(
      long afterRevision, Consumer<CatalogResult<List<CatalogChanges.AtRevision>>> callback) {
    get(
        "/kv-watch?prefix=" + encode(ENDPOINT_PREFIX) + "&after=" + afterRevision + "&wait_ms=0",
        timeoutMs,
        result -> callback.accept(decode(result, this::endpointChanges)));
  }

  private CatalogResult<List<CatalogChanges.AtRevision>> endpointChanges(JsonNode body, long epoch)
      throws IOException {
    CatalogResult.Read<CatalogChanges> read = changes(body, epoch);
    return new CatalogResult.Read<>(read.value().endpoints(), read.revision());
  }

  private void get(String path, long limitMs, Consumer<BufferingHttpClient.Result> callback) {
    HttpRequest request = new BasicHttpRequest("GET", path);
    request.setHeader(HttpHeaders.HOST, host);
    httpClient.call(request, limitMs, callback);
  }

  private interface Decoder<T> {
    CatalogResult<T> decode(JsonNode body, long epoch) throws IOException;
  }

  private <T> CatalogResult<T> decode(BufferingHttpClient.Result result, Decoder<T> decoder) {
    if (!(result instanceof BufferingHttpClient.Result.Answered answered)) {
      return new CatalogResult.Failed<>(result.toString());
    }
    if (answered.status() == HttpStatus.SC_GONE) {
      return new CatalogResult.HistoryLost<>();
    }
    if (answered.status() != HttpStatus.SC_OK) {
      return new CatalogResult.Failed<>("status " + answered.status());
    }
    try {
      JsonNode body = json.readTree(answered.body());
      if (!body.path("at").isIntegralNumber()) {
        return new CatalogResult.Failed<>("the response states no revision 'at'");
      }
      return decoder.decode(body, epoch(answered));
    } catch (IOException | IllegalArgumentException e) {
      return new CatalogResult.Failed<>("cannot decode the response: " + e.getMessage());
    }
  }

  /** Returns the store's epoch; if a response states none, that of the response before. */
  private long epoch(BufferingHttpClient.Result.Answered answered) {
    lastEpoch =
        answered
            .header(HeaderNames.STORE_ERA)
            .filter(text -> text.matches("[0-9]{1,15}"))
            .map(Long::parseLong)
            .orElse(lastEpoch);
    return lastEpoch;
  }

  private CatalogResult.Read<CatalogChanges> changes(JsonNode body, long epoch) throws IOException {
    Optional<RoutingTable> table = Optional.empty();
    final StoreRevision at = new StoreRevision(epoch, body.path("at").asLong());
    List<CatalogChanges.AtRevision> endpoints = new ArrayList<>();
    List<ZoneEvacuation> evacuations = new ArrayList<>();
    for (JsonNode event : body.path("events")) {
      String key = event.path("key").asText();
      boolean deleted = event.path("deleted").asBoolean(false);
      StoreRevision revision = new StoreRevision(epoch, event.path("revision").asLong(at.number()));
      evacuatedZone(key)
          .ifPresent(zone -> evacuations.add(new ZoneEvacuation(zone, !deleted, revision)));
      if (key.equals(CONFIGURATION_KEY) && !deleted) {
        table = Optional.of(decodeDocument(valueBytes(event)));
      } else if (key.startsWith(ENDPOINT_PREFIX)) {
        Optional<ListedEndpoint> entry = deleted ? Optional.empty() : endpoint(event);
        EndpointChange change =
            entry
                .<EndpointChange>map(EndpointChange.Listed::new)
                .orElse(new EndpointChange.Removed(id(key)));
        endpoints.add(new CatalogChanges.AtRevision(revision, change));
      }
    }
    return new CatalogResult.Read<>(new CatalogChanges(table, endpoints, evacuations), at);
  }

  /** Returns the id of the endpoint that a key of the store names. */
  private static String id(String key) {
    return key.substring(Math.min(key.length(), ENDPOINT_PREFIX.length()));
  }

  private Optional<ListedEndpoint> endpoint(JsonNode item) {
    String key = item.path("key").asText();
    try {
      return Optional.of(EndpointDecoder.decode(id(key), value(item)));
    } catch (IOException | IllegalArgumentException e) {
      EventLog.event("endpoint-entry-unreadable").with("key", key).with("error", reason(e)).info();
      return Optional.empty();
    }
  }

  /** Returns the first part of an error's message, which may quote the input. */
  private static String reason(Exception error) {
    String message = String.valueOf(error.getMessage());
    return message.substring(0, Math.min(message.length(), MAX_REASON_LENGTH));
  }

  @Override
  public Optional<RoutingTable> decodeTable(byte[] document) {
    try {
      return Optional.of(decodeDocument(document));
    } catch (IOException | IllegalArgumentException e) {
      EventLog.event("configuration-unreadable").with("error", e).info();
      return Optional.empty();
    }
  }

  private RoutingTable decodeDocument(byte[] document) throws IOException {
    return ConfigurationDecoder.decode(
        json.readTree(document), document, Set.copyOf(regions.values()));
  }

  private JsonNode value(JsonNode item) throws IOException {
    return json.readTree(valueBytes(item));
  }

  private static byte[] valueBytes(JsonNode item) {
    return Base64.getDecoder().decode(item.path("value").asText());
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
