package org.zinniaspan.stream;

/** The answer to one chat request, read by one thread. */
public interface ChatSession extends AutoCloseable {

  /** Waits for the next event; after {@code Finished} or {@code Broken} none follows. */
  StreamEvent next();

  /** Returns the name of the endpoint that answers now. */
  String endpoint();

  /** Stops the work, if it has not ended, and gives the slot back. */
  @Override
  void close();
}
