package org.zinniaspan.transport;

/**
 * Limits how many bytes of bodies several connections buffer at the same time.
 *
 * <p>The first {@value #UNCOUNTED_BYTES} bytes of each body do not count, so that large bodies
 * cannot keep small ones out.
 *
 * <p>All methods are called under the reactor's lock.
 *
 * <p>Example: {@code new BufferBudget(24 << 20)} allows six bodies of 4 MiB at a time.
 */
public final class BufferBudget {

  /** Bytes of each body that do not count. */
  static final int UNCOUNTED_BYTES = 16 * 1024;

  private final long maxBytes;
  private long usedBytes;

  /**
   * Creates a budget of which nothing is used.
   *
   * @param maxBytes largest sum of the buffered bodies, in bytes
   */
  public BufferBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns how many of the counted bytes are in use. */
  public long usedBytes() {
    return usedBytes;
  }

  /** Creates the share of one body, which is empty. */
  public Share share() {
    return new Share();
  }

  /** The bytes that one body takes from the budget. */
  public final class Share {

    private long countedBytes;

    private Share() {}

    /**
     * Changes how many bytes the body takes.
     *
     * @param bytes the bytes that the body takes from now on
     * @return false if fewer are left; the share stays as it is then
     */
    public boolean resize(long bytes) {
      long added = Math.max(0, bytes - UNCOUNTED_BYTES) - countedBytes;
      if (added > 0 && usedBytes + added > maxBytes) {
        return false;
      }
      countedBytes += added;
      usedBytes += added;
      return true;
    }

    /** Gives all bytes back; does nothing if that was done before. */
    public void release() {
      resize(0);
    }
  }
}
