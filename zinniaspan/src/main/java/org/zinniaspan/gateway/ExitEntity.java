package org.zinniaspan.gateway;

import java.io.IOException;
import java.io.OutputStream;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.HttpEntityWrapper;

/** Runs an action once the answer has been delivered, or its connection has broken. */
final class ExitEntity extends HttpEntityWrapper {

  private final SlowCallers slowCallers;
  private final Runnable exit;

  private ExitEntity(HttpEntity wrapped, SlowCallers slowCallers, Runnable exit) {
    super(wrapped);
    this.slowCallers = slowCallers;
    this.exit = exit;
  }

  static void attach(ClassicHttpResponse response, SlowCallers slowCallers, Runnable exit) {
    HttpEntity entity = response.getEntity();
    if (entity == null) {
      entity = new ByteArrayEntity(new byte[0], null);
    }
    response.setEntity(new ExitEntity(entity, slowCallers, exit));
  }

  @Override
  public void writeTo(OutputStream out) throws IOException {
    try (SlowCallers.Guarded guarded = slowCallers.guard(out)) {
      super.writeTo(guarded);
      guarded.flush();
    } finally {
      exit.run();
    }
  }

  @Override
  public void close() throws IOException {
    try {
      super.close();
    } finally {
      exit.run();
    }
  }
}
