package org.zinniaspan.stream;

/** The answer of an engine, read by one thread. */
public interface EngineStream extends AutoCloseable {

  /**
   * Waits for the next event; after {@code Finished}, {@code Broken} or {@code Rejected} none
   * follows.
   */
  StreamEvent next();

  /**
   * Waits for the next event no longer than the given milliseconds, then returns {@code Waiting}.
   *
   * <p>A stream that cannot limit the wait waits as {@link #next()} does.
   */
  default StreamEvent next(long timeoutMs) {
    return next();
  }

  /** Stops the work at the engine; may be called from any thread. */
  void cancel();

  /** Frees the connection; stops the work if it has not ended. */
  @Override
  void close();
}
