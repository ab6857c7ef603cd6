package org.zinniaspan.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.zinniaspan.forwarding.EngineReport;
import org.zinniaspan.forwarding.EngineReportSource;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.transport.BufferingHttpClient;

/** Reads the load reports of engines over HTTP, with a persistent connection to each engine. */
public final class ReportClient implements EngineReportSource {

  private final Function<String, BufferingHttpClient> httpClientFactory;
  private final long timeoutMs;
  private final Map<String, BufferingHttpClient> clientsByAddress = new HashMap<>();
  private final ObjectMapper json = new ObjectMapper();

  /**
   * Creates a client without connections.
   *
   * @param httpClientFactory creates the HTTP client for an address
   * @param timeoutMs longest time until a response, in milliseconds
   */
  public ReportClient(Function<String, BufferingHttpClient> httpClientFactory, long timeoutMs) {
    this.httpClientFactory = httpClientFactory;
    this.timeoutMs = timeoutMs;
  }

  @Override
  public void read(ListedEndpoint engine, Consumer<Optional<EngineReport>> callback) {
    HttpRequest request = new BasicHttpRequest("GET", "/report");
    request.setHeader(HttpHeaders.HOST, engine.address());
    clientsByAddress
        .computeIfAbsent(engine.address(), httpClientFactory)
        .call(request, timeoutMs, result -> callback.accept(decode(result)));
  }

  @Override
  public void tick() {
    clientsByAddress.values().forEach(BufferingHttpClient::tick);
  }

  private Optional<EngineReport> decode(BufferingHttpClient.Result result) {
    if (!(result instanceof BufferingHttpClient.Result.Answered answered)
        || answered.status() != HttpStatus.SC_OK) {
      return Optional.empty();
    }
    try {
      JsonNode node = json.readTree(answered.body());
      if (!node.path("queued").isInt() || !node.path("active").isInt()) {
        return Optional.empty();
      }
      return Optional.of(
          new EngineReport(
              node.path("queued").asInt(),
              node.path("active").asInt(),
              node.path("born").asLong()));
    } catch (IOException e) {
      EventLog.event("report-unreadable").with("error", e).info();
      return Optional.empty();
    }
  }
}
