package org.zinniaspan.runner;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.zinniaspan.inventory.Endpoint;

/** Sends calls to plain services without blocking the caller's thread. */
@FunctionalInterface
public interface CallSender {

  /**
   * Sends a call once.
   *
   * @param endpoint endpoint that receives the call
   * @param call call to send
   * @param attemptId unique id of the attempt
   * @param mayStart checked immediately before the connection is opened; if it returns false, the
   *     result is {@link SendResult.NotSent}
   * @param done receives the result, exactly once
   */
  void send(
      Endpoint endpoint,
      ServiceCall call,
      String attemptId,
      BooleanSupplier mayStart,
      Consumer<SendResult> done);
}
