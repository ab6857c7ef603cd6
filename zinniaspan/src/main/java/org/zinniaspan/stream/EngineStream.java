package org.zinniaspan.stream;

/** The stream of events from one engine; read by one thread. */
public interface EngineStream extends AutoCloseable {

  /**
   * Waits for the next event; {@code Finished}, {@code Broken} and {@code Rejected} are the last.
   */
  StreamEvent next();

  /**
   * Waits for the next event; returns {@code Waiting} if none arrives within the timeout.
   *
   * <p>The default ignores the timeout and waits like {@link #next()}.
   *
   * @param timeoutMs longest wait in milliseconds
   */
  default StreamEvent next(long timeoutMs) {
    return next();
  }

  /** Cancels the generation at the engine; may be called from any thread. */
  void cancel();

  /** Releases the connection; cancels the generation if it has not ended. */
  @Override
  void close();
}
