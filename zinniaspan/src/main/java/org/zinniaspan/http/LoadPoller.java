package org.zinniaspan.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.EndpointKind;
import org.zinniaspan.routing.EndpointTable;
import org.zinniaspan.routing.LoadReport;

/** Reads the load reports of engines and records them in the table. */
public final class LoadPoller implements Ticking {

  private static final int TIMEOUT_MS = 400;
  private static final int MAX_REPORT_BYTES = 64 * 1024;
  private static final int OK = 200;

  private final EndpointTable table;
  private final Predicate<Endpoint> wanted;
  private final long periodMs;
  private final Executor executor;
  private final Clock clock;
  private final ObjectMapper mapper = new ObjectMapper();
  private final Set<String> inFlight = ConcurrentHashMap.newKeySet();
  private long nextMs = Long.MIN_VALUE;

  /**
   * Creates a poller.
   *
   * @param table where reports are recorded
   * @param wanted which endpoints this process reads
   * @param periodMs milliseconds between two reads of one endpoint
   * @param executor runs the reads
   * @param clock source of time
   */
  public LoadPoller(
      EndpointTable table,
      Predicate<Endpoint> wanted,
      long periodMs,
      Executor executor,
      Clock clock) {
    this.table = table;
    this.wanted = wanted;
    this.periodMs = periodMs;
    this.executor = executor;
    this.clock = clock;
  }

  @Override
  public void tick() {
    long now = clock.nowMs();
    if (now < nextMs) {
      return;
    }
    nextMs = now + periodMs;
    for (Endpoint endpoint : table.endpoints()) {
      boolean engine = endpoint.kind() == EndpointKind.ENGINE;
      if (engine && wanted.test(endpoint) && inFlight.add(endpoint.name())) {
        executor.execute(() -> poll(endpoint));
      }
    }
  }

  private void poll(Endpoint endpoint) {
    try {
      read(endpoint).ifPresent(report -> table.recordReport(endpoint.name(), report));
    } finally {
      inFlight.remove(endpoint.name());
    }
  }

  private Optional<LoadReport> read(Endpoint endpoint) {
    try (HttpExchange exchange =
        HttpExchange.connect(Addresses.parse(endpoint.address()), TIMEOUT_MS, TIMEOUT_MS)) {
      ClassicHttpResponse response =
          exchange.execute(
              ClassicRequestBuilder.get("/load")
                  .setHttpHost(OpenAiEngineClient.host(endpoint))
                  .build());
      Optional<byte[]> body = BodyReader.read(response.getEntity(), MAX_REPORT_BYTES);
      if (response.getCode() != OK || body.isEmpty()) {
        return Optional.empty();
      }
      return Optional.of(parse(mapper.readTree(body.get())));
    } catch (IOException | HttpException e) {
      return Optional.empty();
    }
  }

  private LoadReport parse(JsonNode json) {
    Set<String> models = new HashSet<>();
    json.path("models").forEach(model -> models.add(model.asText()));
    return new LoadReport(
        clock.nowMs() - json.path("ageMs").asLong(0),
        json.path("running").asInt(),
        json.path("waiting").asInt(),
        json.path("msPerToken").asDouble(),
        json.path("prefillTokensPerSecond").asDouble(),
        json.path("leaving").asBoolean(),
        models,
        json.path("highestFencing").asLong());
  }
}
