package org.zinniaspan.transport;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.apache.hc.core5.http.HttpResponse;

/** Receives the answer to one request; called under the reactor's lock. */
public interface ResponseHandler {

  /**
   * Called for each answer that arrives.
   *
   * @return false if it answers another request; it is then skipped
   */
  boolean onHead(HttpResponse head);

  /** Called for each part of the body. */
  void onBody(ByteBuffer part);

  /** Called once when the answer is complete. */
  void onEnd();

  /**
   * Called once if the connection ends before the answer is complete.
   *
   * @param opened whether the connection was ever open, so that bytes may have been read
   * @param cause the fault; empty if the other side closed in order
   */
  void onConnectionLost(boolean opened, Optional<Exception> cause);
}
