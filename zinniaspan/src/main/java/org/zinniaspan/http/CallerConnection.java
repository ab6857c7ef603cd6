package org.zinniaspan.http;

import java.io.IOException;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.io.CloseMode;

/** A caller's connection that its handler can ask whether the caller has left. */
final class CallerConnection extends DefaultBHttpServerConnection {

  private static final ThreadLocal<CallerConnection> CURRENT = new ThreadLocal<>();

  CallerConnection(Http1Config config) {
    super("http", config);
  }

  /** Returns whether the caller of the request that this thread handles has left. */
  static boolean callerLeft() {
    CallerConnection connection = CURRENT.get();
    return connection != null && connection.hasLeft();
  }

  /** Returns what closes the connection of the request that this thread handles, at once. */
  static Runnable closer() {
    CallerConnection connection = CURRENT.get();
    return connection == null ? () -> {} : () -> connection.close(CloseMode.IMMEDIATE);
  }

  private boolean hasLeft() {
    try {
      return isStale();
    } catch (IOException e) {
      return true;
    }
  }

  @Override
  public ClassicHttpRequest receiveRequestHeader() throws HttpException, IOException {
    ClassicHttpRequest request = super.receiveRequestHeader();
    CURRENT.set(this);
    return request;
  }
}
