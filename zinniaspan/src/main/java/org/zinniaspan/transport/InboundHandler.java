package org.zinniaspan.transport;

import org.apache.hc.core5.http.HttpRequest;
import org.zinniaspan.forwarding.InboundLimits;

/** Receives the requests of inbound connections; called under the reactor's lock. */
public interface InboundHandler {

  /** Returns the bounds in force. */
  InboundLimits limits();

  /** Called when a connection opens. */
  void onOpen(InboundConnection connection);

  /** Called when a request has been read whole. */
  void onRequest(InboundConnection connection, HttpRequest head, byte[] body);

  /** Called when a request cannot be read; the answer must close the connection. */
  void onUnreadable(InboundConnection connection, int status, String reason);

  /** Called once when a connection is lost or closed by the client. */
  void onDisconnect(InboundConnection connection);
}
