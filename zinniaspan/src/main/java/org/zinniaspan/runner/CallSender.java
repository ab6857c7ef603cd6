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
   * @param endpoint where to
   * @param call what
   * @param attemptId unique id of the attempt
   * @param mayStart asked as the last act before the connection is opened; where it says no, the
   *     result is {@link SendResult.NotSent}
   * @param done takes the result, once
   */
  void send(
      Endpoint endpoint,
      ServiceCall call,
      String attemptId,
      BooleanSupplier mayStart,
      Consumer<SendResult> done);
}
