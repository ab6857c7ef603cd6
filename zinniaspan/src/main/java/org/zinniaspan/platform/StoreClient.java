package org.zinniaspan.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
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
import org.zinniaspan.forwarding.RoutingTable;
import org.zinniaspan.forwarding.StoreRevision;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.transport.BufferingHttpClient;

/**
 * Reads and watches the platform's key-value store over HTTP; no other class accesses the store.
 */
public final class StoreClient implements Catalog {

  private static final String CONFIGURATION_KEY = "op/config";
  private static final String ENDPOINT_PREFIX = "servers/";

  /** Largest length of the reason for which an entry is ignored, in the log, in characters. */
  private static final int MAX_REASON_LENGTH = 200;

  private final BufferingHttpClient httpClient;
  private final String host;
  private final long timeoutMs;
  private final ObjectMapper json = new ObjectMapper();
  private long lastEpoch;

  /**
   * Creates a client.
   *
   * @param httpClient sends the requests to the store
   * @param address address of the store, for the Host header
   * @param timeoutMs longest time until a response, in milliseconds; a watch may wait for longer by
   *     its own wait time
   */
  public StoreClient(BufferingHttpClient httpClient, InetSocketAddress address, long timeoutMs) {
    this.httpClient = httpClient;
    this.host = address.getHostString() + ':' + address.getPort();
    this.timeoutMs = timeoutMs;
  }

  @Override
  public void readTable(Consumer<CatalogResult<Optional<RoutingTable>>> callback) {
    get(
        "/kv-key?key=" + encode(CONFIGURATION_KEY),
        timeoutMs,
        result -> callback.accept(decode(result, this::table)));
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
    boolean missing = answered.status() == HttpStatus.SC_NOT_FOUND;
    if (answered.status() != HttpStatus.SC_OK && !missing) {
      return new CatalogResult.Failed<>("status " + answered.status());
    }
    try {
      JsonNode body = missing ? json.createObjectNode() : json.readTree(answered.body());
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

  private CatalogResult<Optional<RoutingTable>> table(JsonNode item, long epoch)
      throws IOException {
    Optional<RoutingTable> table =
        item.has("value") ? Optional.of(decodeDocument(valueBytes(item))) : Optional.empty();
    long number = item.path("at").asLong(item.path("revision").asLong());
    return new CatalogResult.Read<>(table, new StoreRevision(epoch, number));
  }

  private CatalogResult.Read<CatalogChanges> changes(JsonNode body, long epoch) throws IOException {
    Optional<RoutingTable> table = Optional.empty();
    final StoreRevision at = new StoreRevision(epoch, body.path("at").asLong());
    List<CatalogChanges.AtRevision> endpoints = new ArrayList<>();
    for (JsonNode event : body.path("events")) {
      String key = event.path("key").asText();
      boolean deleted = event.path("deleted").asBoolean(false);
      if (key.equals(CONFIGURATION_KEY) && !deleted) {
        table = Optional.of(decodeDocument(valueBytes(event)));
      } else if (key.startsWith(ENDPOINT_PREFIX)) {
        Optional<ListedEndpoint> entry = deleted ? Optional.empty() : endpoint(event);
        EndpointChange change =
            entry
                .<EndpointChange>map(EndpointChange.Listed::new)
                .orElse(new EndpointChange.Removed(id(key)));
        long revision = event.path("revision").asLong(at.number());
        endpoints.add(new CatalogChanges.AtRevision(new StoreRevision(epoch, revision), change));
      }
    }
    return new CatalogResult.Read<>(new CatalogChanges(table, endpoints), at);
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
    return ConfigurationDecoder.decode(json.readTree(document), document);
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
