package org.zinniaspan.proxy;

import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.zinniaspan.forwarding.InboundLimits;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.transport.InboundConnection;
import org.zinniaspan.transport.InboundHandler;

/** Tells the balancer whether this VM takes requests. */
final class ReadinessHandler implements InboundHandler {

  private final BooleanSupplier ready;
  private boolean lastAnswer;

  ReadinessHandler(BooleanSupplier ready) {
    this.ready = ready;
  }

  @Override
  public InboundLimits limits() {
    return InboundLimits.DEFAULT;
  }

  @Override
  public void onOpen(InboundConnection connection) {
    // Nothing is kept for a connection.
  }

  @Override
  public void onRequest(InboundConnection connection, HttpRequest head, byte[] body) {
    boolean now = ready.getAsBoolean();
    if (now != lastAnswer) {
      lastAnswer = now;
      EventLog.event("readiness").with("ready", now).info();
    }
    int status = now ? HttpStatus.SC_OK : HttpStatus.SC_SERVICE_UNAVAILABLE;
    connection.answer(new BasicHttpResponse(status), new byte[0]);
  }

  @Override
  public void onUnreadable(InboundConnection connection, int status, String reason) {
    connection.answer(new BasicHttpResponse(status), new byte[0]);
  }

  @Override
  public void onLost(InboundConnection connection) {
    // Nothing is kept for a connection.
  }
}
