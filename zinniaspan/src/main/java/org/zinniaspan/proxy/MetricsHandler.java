package org.zinniaspan.proxy;

import java.io.IOException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.zinniaspan.log.EventLog;

/** Serves the metrics of the process in the Prometheus text format. */
final class MetricsHandler extends PageHandler {

  private final ForwardMetrics metrics;

  MetricsHandler(ForwardMetrics metrics) {
    this.metrics = metrics;
  }

  @Override
  Page page() {
    try {
      HttpResponse head = new BasicHttpResponse(HttpStatus.SC_OK);
      head.setHeader(HttpHeaders.CONTENT_TYPE, "text/plain; version=0.0.4");
      return new Page(head, metrics.exposition());
    } catch (IOException e) {
      EventLog.event("metrics-failed").with("error", e).warn();
      return new Page(new BasicHttpResponse(HttpStatus.SC_INTERNAL_SERVER_ERROR), new byte[0]);
    }
  }
}
