package org.zinniaspan.standins.engine;

/**
 * An answer being generated: the engine's loop adds tokens, the connection's thread writes them.
 *
 * <p>Thread-safe: state is guarded by this object's lock.
 */
final class Sequence {

  private final Generation generation;
  private final long order;
  private int promptTokensLeft;
  private int position;
  private boolean stopped;

  Sequence(Generation generation, long order) {
    this.generation = generation;
    this.order = order;
    this.position = generation.resumeFromToken();
  }

  Generation generation() {
    return generation;
  }

  int priority() {
    return generation.priority();
  }

  long order() {
    return order;
  }

  /** Sets the number of prompt tokens to read when the sequence joins the batch. */
  synchronized void admit(int promptTokens) {
    promptTokensLeft = promptTokens;
  }

  /** Reads at most the given number of prompt tokens and returns how many were read. */
  synchronized int prefill(int atMost) {
    int read = Math.min(atMost, promptTokensLeft);
    promptTokensLeft -= read;
    return read;
  }

  /** Adds a token if the prompt has been read; returns whether one was added. */
  synchronized boolean decode() {
    if (promptTokensLeft > 0 || isOver()) {
      return false;
    }
    position++;
    notifyAll();
    return true;
  }

  /** Returns whether all tokens have been generated or the sequence was stopped. */
  synchronized boolean isOver() {
    return stopped || position >= generation.answerTokens();
  }

  /** Stops the sequence; the loop removes it at its next step. */
  synchronized void stop() {
    stopped = true;
    notifyAll();
  }

  /** Returns the number of tokens that this engine generated, without those skipped. */
  synchronized int ownTokens() {
    return position - generation.resumeFromToken();
  }

  /**
   * Waits until more than the given number of tokens are available, at most the given time.
   *
   * @param knownTokens number of tokens already known, including those skipped
   * @param waitMs maximum wait, in milliseconds
   * @return number of tokens available, including those skipped
   */
  synchronized int awaitMoreThan(int knownTokens, long waitMs) throws InterruptedException {
    if (position <= knownTokens && !isOver()) {
      wait(waitMs);
    }
    return position;
  }
}
