package org.zinniaspan.proxy;

import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.zinniaspan.forwarding.InboundLimits;
import org.zinniaspan.transport.InboundConnection;
import org.zinniaspan.transport.InboundHandler;

/** Responds to every request with the same page, and keeps no state for a connection. */
abstract class PageHandler implements InboundHandler {

  /**
   * A complete response.
   *
   * @param head status and headers
   * @param content the body
   */
  record Page(HttpResponse head, byte[] content) {}

  /** Returns the current page. */
  abstract Page page();

  /** Longer than the interval of scrapes, so that their connections are kept, in milliseconds. */
  private static final long IDLE_TIMEOUT_MS = 60_000;

  private static final InboundLimits LIMITS =
      new InboundLimits(
          InboundLimits.DEFAULT.maxHeaderBytes(),
          InboundLimits.DEFAULT.maxBodyBytes(),
          InboundLimits.DEFAULT.headerTimeoutMs(),
          IDLE_TIMEOUT_MS);

  @Override
  public InboundLimits limits() {
    return LIMITS;
  }

  @Override
  public void onOpen(InboundConnection connection) {
    // No state is kept for a connection.
  }

  @Override
  public void onRequest(InboundConnection connection, HttpRequest head, byte[] body) {
    Page page = page();
    connection.sendResponse(page.head(), page.content());
  }

  @Override
  public void onUnreadable(InboundConnection connection, int status, String reason) {
    connection.sendResponse(new BasicHttpResponse(status), new byte[0]);
  }

  @Override
  public void onDisconnect(InboundConnection connection) {
    // No state is kept for a connection.
  }
}
