package org.zinniaspan.transport;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.apache.hc.core5.http.HttpResponse;

/** Handles the response to one request; all methods are called under the reactor's lock. */
public interface ResponseHandler {

  /**
   * Called for the head of each final response that arrives.
   *
   * @return false if the response belongs to another request and is to be skipped
   */
  boolean onHead(HttpResponse head);

  /** Called for each part of the response body. */
  void onBody(ByteBuffer part);

  /** Called once when the response is complete. */
  void onEnd();

  /**
   * Called once if the connection ends before the response is complete.
   *
   * @param opened whether the connection was ever open; if so, the remote side may have read bytes
   *     of the request
   * @param cause the error; empty if the remote side closed the connection in an orderly way
   */
  void onConnectionLost(boolean opened, Optional<Exception> cause);

  /**
   * Called if {@link #onEnd} has thrown an exception; what it had begun may have had effects.
   *
   * <p>The connection carries no request any more, so that nothing else ends the request.
   */
  void onFault(RuntimeException cause);
}
