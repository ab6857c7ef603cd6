package org.zinniaspan.runner;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.zinniaspan.inventory.Endpoint;

/** Sends calls with a blocking client on the threads of an executor. */
public final class BlockingCallSender implements CallSender {

  private final ServiceClient client;
  private final Executor executor;

  /** Creates a sender. */
  public BlockingCallSender(ServiceClient client, Executor executor) {
    this.client = client;
    this.executor = executor;
  }

  @Override
  public void send(
      Endpoint endpoint,
      ServiceCall call,
      String attemptId,
      BooleanSupplier mayStart,
      Consumer<SendResult> done) {
    try {
      executor.execute(() -> done.accept(sendNow(endpoint, call, attemptId, mayStart)));
    } catch (RejectedExecutionException e) {
      done.accept(new SendResult.NotSent("this VM is shutting down"));
    }
  }

  private SendResult sendNow(
      Endpoint endpoint, ServiceCall call, String attemptId, BooleanSupplier mayStart) {
    if (!mayStart.getAsBoolean()) {
      return new SendResult.NotSent("the grant or the claim of the call has expired");
    }
    try {
      return client.send(endpoint, call, attemptId);
    } catch (RuntimeException e) {
      return new SendResult.MaybeSent(endpoint.name() + ": " + e);
    }
  }
}
