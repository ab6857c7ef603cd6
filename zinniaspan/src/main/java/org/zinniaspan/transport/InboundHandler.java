package org.zinniaspan.transport;

import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpStatus;
import org.zinniaspan.forwarding.InboundLimits;

/** Handles the requests of inbound connections; all methods are called under the reactor's lock. */
public interface InboundHandler {

  /** Returns the size limits and timeouts in force. */
  InboundLimits limits();

  /**
   * Returns the budget for the body of a request; by default, only small bodies are read.
   *
   * @param head head of the request
   */
  default BufferBudget bodyBudget(HttpRequest head) {
    return new BufferBudget(0);
  }

  /** Called when a connection is open. */
  void onOpen(InboundConnection connection);

  /** Called when a request has been read completely. */
  void onRequest(InboundConnection connection, HttpRequest head, byte[] body);

  /**
   * Called when a request is malformed, too large or too slow.
   *
   * <p>The connection closes after the response, as the end of the request is not known.
   *
   * @param status HTTP status code to respond with
   * @param reason description of the error, for logs
   */
  void onUnreadable(InboundConnection connection, int status, String reason);

  /**
   * Called when the budget of the request bodies is exhausted; the response must be sent at once.
   *
   * <p>The rest of the body is skipped, and the connection closes after it.
   *
   * @param head head of the request whose body exceeds the budget
   */
  default void onBudgetExhausted(InboundConnection connection, HttpRequest head) {
    onUnreadable(
        connection, HttpStatus.SC_SERVICE_UNAVAILABLE, "the bodies of requests fill the memory");
  }

  /**
   * Called once when a connection fails, times out, is closed by the client or closes after its
   * last response.
   */
  void onDisconnect(InboundConnection connection);
}
