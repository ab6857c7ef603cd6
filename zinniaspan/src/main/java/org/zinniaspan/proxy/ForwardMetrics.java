package org.zinniaspan.proxy;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.zinniaspan.forwarding.Route;

/**
 * Counters and latency histograms of the forwarding path.
 *
 * <p>Label values are only kinds of route, outcomes and statuses, whose number is bounded. Route
 * names are not used, as a configuration may hold any number of them.
 */
final class ForwardMetrics {

  private static final double MS_PER_SECOND = 1_000.0;
  private static final double[] LATENCY_BOUNDS_SECONDS = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 15
  };

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter requests =
      Counter.builder()
          .name("zinniaspan_forwarded_requests_total")
          .help("Requests by kind of route, outcome and status.")
          .labelNames("kind", "outcome", "status")
          .register(registry);
  private final Counter sends =
      Counter.builder()
          .name("zinniaspan_endpoint_sends_total")
          .help("Requests sent to endpoints, by kind of route; repeats included.")
          .labelNames("kind")
          .register(registry);
  private final Counter resumes =
      Counter.builder()
          .name("zinniaspan_streams_resumed_total")
          .help("Streams resumed at an endpoint, by who resumed them: a client or this VM.")
          .labelNames("by")
          .register(registry);
  private final Counter relays =
      Counter.builder()
          .name("zinniaspan_relayed_requests_total")
          .help("Requests that this VM relayed to other VMs, or received from them.")
          .labelNames("side")
          .register(registry);
  private final Counter refusals =
      Counter.builder()
          .name("zinniaspan_refused_requests_total")
          .help("Requests to model services that admission control refused, by reason and rank.")
          .labelNames("reason", "rank")
          .register(registry);
  private final Histogram firstEvent =
      Histogram.builder()
          .name("zinniaspan_first_event_seconds")
          .help("Time from arrival to the first event of a stream.")
          .classicOnly()
          .classicUpperBounds(LATENCY_BOUNDS_SECONDS)
          .register(registry);
  private final Histogram duration =
      Histogram.builder()
          .name("zinniaspan_request_seconds")
          .help("Time from arrival to the final answer, by kind of route.")
          .labelNames("kind")
          .classicOnly()
          .classicUpperBounds(LATENCY_BOUNDS_SECONDS)
          .register(registry);

  /**
   * The result of a finished request.
   *
   * @param route its route, if one was found
   * @param outcome the outcome, or the reason of a failure
   * @param status HTTP status of the final response; 0 if there was none or it was cut off
   * @param sends number of sends to endpoints
   * @param firstEventMs time from arrival to the first event, in milliseconds; negative if there
   *     was none
   * @param durationMs time from arrival to the end, in milliseconds
   */
  record CompletedRequest(
      Optional<Route> route,
      String outcome,
      int status,
      int sends,
      long firstEventMs,
      long durationMs) {}

  /** Records that admission control refused a request of a rank. */
  void recordRefusal(String reason, int rank) {
    refusals.labelValues(reason, String.valueOf(rank)).inc();
  }

  /** Records a finished request. */
  void recordRequest(CompletedRequest completed) {
    String kind =
        completed.route().map(r -> r.kind().name().toLowerCase(Locale.ROOT)).orElse("none");
    requests.labelValues(kind, completed.outcome(), Integer.toString(completed.status())).inc();
    sends.labelValues(kind).inc(completed.sends());
    duration.labelValues(kind).observe(completed.durationMs() / MS_PER_SECOND);
    if (completed.firstEventMs() >= 0) {
      firstEvent.observe(completed.firstEventMs() / MS_PER_SECOND);
    }
  }

  /** Records that a stream is resumed at an endpoint, by a client or by this VM. */
  void recordResume(String by) {
    resumes.labelValues(by).inc();
  }

  /** Records a request that was {@code sent} to another VM or {@code received} from one. */
  void recordRelay(String side) {
    relays.labelValues(side).inc();
  }

  /** Registers a gauge whose value is read at each scrape. */
  void registerGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /** Registers a counter whose value is read at each scrape, for each value of a label. */
  void registerCounter(String name, String help, String label, Map<String, LongSupplier> values) {
    CounterWithCallback.builder()
        .name(name)
        .help(help)
        .labelNames(label)
        .callback(callback -> values.forEach((key, value) -> callback.call(value.getAsLong(), key)))
        .register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  byte[] exposition() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrometheusTextFormatWriter.create().write(out, registry.scrape());
    return out.toByteArray();
  }
}
