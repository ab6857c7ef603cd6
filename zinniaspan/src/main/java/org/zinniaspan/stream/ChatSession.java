package org.zinniaspan.stream;

/** The stream of events that answers one chat request; read by one thread. */
public interface ChatSession extends AutoCloseable {

  /** Waits for the next event; {@code Finished} and {@code Broken} are the last. */
  StreamEvent next();

  /** Returns the name of the endpoint of the latest attempt, empty before the first one opens. */
  String endpoint();

  /**
   * Returns the tokens that engines generated for this request and {@link #next} never returned.
   */
  default int wastedTokens() {
    return 0;
  }

  /** Cancels the running attempt, if any, and releases its slot. */
  @Override
  void close();
}
