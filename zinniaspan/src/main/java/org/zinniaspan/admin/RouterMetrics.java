package org.zinniaspan.admin;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.zinniaspan.gateway.TrafficObserver;
import org.zinniaspan.inventory.ServiceClass;
import org.zinniaspan.request.Outcome;

/** Registry of the metrics of one process, updated with the results of its requests. */
public final class RouterMetrics implements TrafficObserver {

  private static final double MS_PER_SECOND = 1_000.0;
  private static final double[] LATENCY_BOUNDS_SECONDS = {
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30
  };

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter requests =
      Counter.builder()
          .name("zinniaspan_requests_total")
          .help("Requests by class and outcome.")
          .labelNames("class", "outcome", "reason")
          .register(registry);
  private final Counter requestsWithinTargets =
      Counter.builder()
          .name("zinniaspan_requests_attained_total")
          .help("Requests answered once, whole and within the targets of their class.")
          .labelNames("class")
          .register(registry);
  private final Counter deliveredTokens =
      Counter.builder()
          .name("zinniaspan_tokens_delivered_total")
          .help("Tokens of whole answers.")
          .labelNames("class")
          .register(registry);
  private final Counter wastedTokens =
      Counter.builder()
          .name("zinniaspan_tokens_wasted_total")
          .help("Tokens generated for answers that nobody received.")
          .labelNames("class")
          .register(registry);
  private final Histogram firstTokenLatency =
      Histogram.builder()
          .name("zinniaspan_first_token_seconds")
          .help("Time from arrival to the first token.")
          .labelNames("class")
          .classicOnly()
          .classicUpperBounds(LATENCY_BOUNDS_SECONDS)
          .register(registry);

  @Override
  public void onDelivered(ServiceClass serviceClass, Delivery delivery) {
    String name = serviceClass.name();
    requests.labelValues(name, "answered", "").inc();
    deliveredTokens.labelValues(name).inc(delivery.tokens());
    firstTokenLatency.labelValues(name).observe(delivery.firstTokenMs() / MS_PER_SECOND);
    if (delivery.meetsTargets(serviceClass)) {
      requestsWithinTargets.labelValues(name).inc();
    }
  }

  @Override
  public void onEnded(ServiceClass serviceClass, Outcome outcome) {
    String reason = outcome instanceof Outcome.NotRun notRun ? notRun.reason().code() : "";
    requests.labelValues(serviceClass.name(), outcome.label(), reason).inc();
  }

  @Override
  public void onTokensWasted(ServiceClass serviceClass, int count) {
    wastedTokens.labelValues(serviceClass.name()).inc(count);
  }

  /** Adds a gauge whose value is read on each scrape. */
  public void addGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Adds a gauge with one label; its values by label value are read on each scrape. */
  public void addLabelledGauge(
      String name, String help, String label, Supplier<Map<String, Double>> values) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .labelNames(label)
        .callback(callback -> values.get().forEach((key, value) -> callback.call(value, key)))
        .register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  public byte[] toPrometheusText() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrometheusTextFormatWriter.create().write(out, registry.scrape());
    return out.toByteArray();
  }
}
