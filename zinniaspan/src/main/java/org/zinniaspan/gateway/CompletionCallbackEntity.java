package org.zinniaspan.gateway;

import java.io.IOException;
import java.io.OutputStream;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.HttpEntityWrapper;

/** Runs an action once the answer has been delivered, or its connection has broken. */
final class CompletionCallbackEntity extends HttpEntityWrapper {

  private final SlowCallers slowCallers;
  private final Runnable onCompletion;

  private CompletionCallbackEntity(
      HttpEntity wrapped, SlowCallers slowCallers, Runnable onCompletion) {
    super(wrapped);
    this.slowCallers = slowCallers;
    this.onCompletion = onCompletion;
  }

  static void attach(ClassicHttpResponse response, SlowCallers slowCallers, Runnable onCompletion) {
    HttpEntity entity = response.getEntity();
    if (entity == null) {
      entity = new ByteArrayEntity(new byte[0], null);
    }
    response.setEntity(new CompletionCallbackEntity(entity, slowCallers, onCompletion));
  }

  @Override
  public void writeTo(OutputStream out) throws IOException {
    try (SlowCallers.TimedOutputStream timed = slowCallers.monitor(out)) {
      super.writeTo(timed);
      timed.flush();
    } finally {
      onCompletion.run();
    }
  }

  @Override
  public void close() throws IOException {
    try {
      super.close();
    } finally {
      onCompletion.run();
    }
  }
}
