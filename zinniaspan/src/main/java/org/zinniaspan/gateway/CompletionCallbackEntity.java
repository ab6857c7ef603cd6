package org.zinniaspan.gateway;

import java.io.IOException;
import java.io.OutputStream;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.HttpEntityWrapper;

/**
 * An entity that runs a callback when the response has been written or its connection has failed.
 *
 * <p>Both {@link #writeTo} and {@link #close} run the callback, so it must tolerate a second call.
 * Writes are subject to the timeout of {@link SlowCallers}.
 */
final class CompletionCallbackEntity extends HttpEntityWrapper {

  private final SlowCallers slowCallers;
  private final Runnable onCompletion;

  private CompletionCallbackEntity(
      HttpEntity wrapped, SlowCallers slowCallers, Runnable onCompletion) {
    super(wrapped);
    this.slowCallers = slowCallers;
    this.onCompletion = onCompletion;
  }

  /** Wraps the entity of a response, or an empty one if it has none. */
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
