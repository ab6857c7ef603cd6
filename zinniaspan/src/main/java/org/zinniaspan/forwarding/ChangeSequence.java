package org.zinniaspan.forwarding;

/** Numbers the observations of a VM, so that other VMs can ask for those that they do not know. */
public final class ChangeSequence {

  private long last;
  private long lastOwn;

  /** Creates a sequence that begins at 1. */
  public ChangeSequence() {}

  /**
   * Returns the next number.
   *
   * @param own whether this VM observed the change itself
   */
  long next(boolean own) {
    last++;
    if (own) {
      lastOwn = last;
    }
    return last;
  }

  /** Returns the number of the last change; 0 if there was none. */
  public long last() {
    return last;
  }

  /** Returns the number of the last change that this VM observed itself; 0 if there was none. */
  public long lastOwn() {
    return lastOwn;
  }
}
