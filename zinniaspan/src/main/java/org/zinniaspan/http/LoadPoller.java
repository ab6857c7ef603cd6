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

/**
 * Polls engines for their load reports and records them in the endpoint table.
 *
 * <p>An engine whose last poll has not finished is skipped; a failed poll records nothing.
 */
public final class LoadPoller implements Ticking {

  private static final int HTTP_TIMEOUT_MS = 400;
  private static final int MAX_REPORT_BYTES = 64 * 1024;
  private static final int OK = 200;

  private final EndpointTable table;
  private final Predicate<Endpoint> endpointFilter;
  private final long periodMs;
  private final Executor executor;
  private final Clock clock;
  private final ObjectMapper mapper = new ObjectMapper();
  private final Set<String> pendingPolls = ConcurrentHashMap.newKeySet();
  private long nextPollMs = Long.MIN_VALUE;

  /**
   * Creates a poller.
   *
   * @param table table that records the reports
   * @param endpointFilter selects the endpoints that this process polls
   * @param periodMs interval between two polls of an endpoint, in milliseconds
   * @param executor runs the polls, which block
   * @param clock source of time
   */
  public LoadPoller(
      EndpointTable table,
      Predicate<Endpoint> endpointFilter,
      long periodMs,
      Executor executor,
      Clock clock) {
    this.table = table;
    this.endpointFilter = endpointFilter;
    this.periodMs = periodMs;
    this.executor = executor;
    this.clock = clock;
  }

  @Override
  public void tick() {
    long now = clock.nowMs();
    if (now < nextPollMs) {
      return;
    }
    nextPollMs = now + periodMs;
    for (Endpoint endpoint : table.endpoints()) {
      boolean engine = endpoint.kind() == EndpointKind.ENGINE;
      if (engine && endpointFilter.test(endpoint) && pendingPolls.add(endpoint.name())) {
        executor.execute(() -> poll(endpoint));
      }
    }
  }

  private void poll(Endpoint endpoint) {
    try {
      fetchReport(endpoint).ifPresent(report -> table.recordReport(endpoint.name(), report));
    } finally {
      pendingPolls.remove(endpoint.name());
    }
  }

  private Optional<LoadReport> fetchReport(Endpoint endpoint) {
    try (HttpClientExchange exchange =
        HttpClientExchange.connect(
            Addresses.parse(endpoint.address()), HTTP_TIMEOUT_MS, HTTP_TIMEOUT_MS)) {
      ClassicHttpResponse response =
          exchange.execute(
              ClassicRequestBuilder.get("/load")
                  .setHttpHost(OpenAiEngineClient.httpHost(endpoint))
                  .build());
      Optional<byte[]> body = BodyReader.read(response.getEntity(), MAX_REPORT_BYTES);
      if (response.getCode() != OK || body.isEmpty()) {
        return Optional.empty();
      }
      return Optional.of(parseReport(mapper.readTree(body.get())));
    } catch (IOException | HttpException e) {
      return Optional.empty();
    }
  }

  private LoadReport parseReport(JsonNode json) {
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
