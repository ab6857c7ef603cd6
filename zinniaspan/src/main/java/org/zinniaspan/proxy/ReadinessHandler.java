package org.zinniaspan.proxy;

import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.zinniaspan.log.EventLog;

/**
 * Responds to the load balancer's readiness checks: status 200 if this VM accepts requests, else
 * 503.
 */
final class ReadinessHandler extends PageHandler {

  private final BooleanSupplier ready;
  private boolean lastReady;

  ReadinessHandler(BooleanSupplier ready) {
    this.ready = ready;
  }

  @Override
  Page page() {
    boolean isReady = ready.getAsBoolean();
    if (isReady != lastReady) {
      lastReady = isReady;
      EventLog.event("readiness").with("ready", isReady).info();
    }
    int status = isReady ? HttpStatus.SC_OK : HttpStatus.SC_SERVICE_UNAVAILABLE;
    return new Page(new BasicHttpResponse(status), new byte[0]);
  }
}
