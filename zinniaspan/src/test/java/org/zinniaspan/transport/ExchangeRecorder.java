package org.zinniaspan.transport;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.zinniaspan.forwarding.InboundLimits;

/** Records what connections report of requests and responses, without answering any. */
class ExchangeRecorder implements InboundHandler, ResponseHandler {

  /** The reports in their order, such as {@code request} and {@code lost}. */
  final List<String> events = new ArrayList<>();

  @Override
  public InboundLimits limits() {
    return InboundLimits.DEFAULT;
  }

  @Override
  public void onOpen(InboundConnection connection) {
    // Only requests and the end matter.
  }

  @Override
  public void onRequest(InboundConnection connection, HttpRequest head, byte[] body) {
    events.add("request");
  }

  @Override
  public void onUnreadable(InboundConnection connection, int status, String reason) {
    events.add("status " + status);
  }

  @Override
  public void onDisconnect(InboundConnection connection) {
    events.add("left");
  }

  @Override
  public boolean onHead(HttpResponse head) {
    return true;
  }

  @Override
  public void onBody(ByteBuffer part) {
    // Only the end matters.
  }

  @Override
  public void onEnd() {
    events.add("end");
  }

  @Override
  public void onConnectionLost(boolean opened, Optional<Exception> cause) {
    events.add("lost");
  }

  @Override
  public void onFault(RuntimeException cause) {
    events.add("fault");
  }
}
