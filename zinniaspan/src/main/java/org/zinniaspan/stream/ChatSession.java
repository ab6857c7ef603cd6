package org.zinniaspan.stream;

/** The answer to one chat request, read by one thread. */
public interface ChatSession extends AutoCloseable {

  /** Waits for the next event; after {@code Finished} or {@code Broken} none follows. */
  StreamEvent next();

  /** Returns the name of the endpoint that answers now. */
  String endpoint();

  /** Returns the tokens that engines generated for this request and {@link #next} never gave. */
  default int wastedTokens() {
    return 0;
  }

  /** Stops the work, if it has not ended, and gives the slot back. */
  @Override
  void close();
}
