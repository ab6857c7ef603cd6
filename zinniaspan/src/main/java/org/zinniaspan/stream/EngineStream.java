package org.zinniaspan.stream;

/** The answer of an engine, read by one thread. */
public interface EngineStream extends AutoCloseable {

  /** Waits for the next event; after {@code Finished} or {@code Broken} none follows. */
  StreamEvent next();

  /** Stops the work at the engine; may be called from any thread. */
  void cancel();

  /** Frees the connection; stops the work if it has not ended. */
  @Override
  void close();
}
