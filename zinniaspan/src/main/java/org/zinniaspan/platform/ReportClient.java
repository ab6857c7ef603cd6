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
import org.zinniaspan.transport.HttpCaller;

/** Reads the load reports of engines over HTTP, with a persistent connection to each engine. */
public final class ReportClient implements EngineReportSource {

  private final Function<String, HttpCaller> callers;
  private final long timeoutMs;
  private final Map<String, HttpCaller> byAddress = new HashMap<>();
  private final ObjectMapper json = new ObjectMapper();

  /**
   * Creates a client without connections.
   *
   * @param callers creates the caller for an address
   * @param timeoutMs longest time until an answer, in milliseconds
   */
  public ReportClient(Function<String, HttpCaller> callers, long timeoutMs) {
    this.callers = callers;
    this.timeoutMs = timeoutMs;
  }

  @Override
  public void read(ListedEndpoint engine, Consumer<Optional<EngineReport>> reply) {
    HttpRequest request = new BasicHttpRequest("GET", "/report");
    request.setHeader(HttpHeaders.HOST, engine.address());
    byAddress
        .computeIfAbsent(engine.address(), callers)
        .call(request, timeoutMs, result -> reply.accept(decode(result)));
  }

  @Override
  public void tick() {
    byAddress.values().forEach(HttpCaller::tick);
  }

  private Optional<EngineReport> decode(HttpCaller.Result result) {
    if (!(result instanceof HttpCaller.Result.Answered answered)
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
