package org.zinniaspan.standins.engine;

/**
 * One answer in the making: the engine's loop adds tokens, the connection's thread takes them.
 *
 * <p>State is guarded by this object's lock.
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

  synchronized void admit(int promptTokens) {
    promptTokensLeft = promptTokens;
  }

  /** Reads up to the given number of prompt tokens and returns how many it read. */
  synchronized int prefill(int atMost) {
    int read = Math.min(atMost, promptTokensLeft);
    promptTokensLeft -= read;
    return read;
  }

  /** Adds a token if the prompt has been read; returns whether it did. */
  synchronized boolean decode() {
    if (promptTokensLeft > 0 || isOver()) {
      return false;
    }
    position++;
    notifyAll();
    return true;
  }

  /** Returns whether all tokens are there or nobody wants them. */
  synchronized boolean isOver() {
    return stopped || position >= generation.answerTokens();
  }

  /** Stops the answer; the loop drops it at its next step. */
  synchronized void stop() {
    stopped = true;
    notifyAll();
  }

  /** Returns the tokens added by this engine. */
  synchronized int ownTokens() {
    return position - generation.resumeFromToken();
  }

  /** Waits until there are more tokens than the given number, and returns how many there are. */
  synchronized int awaitMoreThan(int known, long waitMs) throws InterruptedException {
    if (position <= known && !isOver()) {
      wait(waitMs);
    }
    return position;
  }
}
