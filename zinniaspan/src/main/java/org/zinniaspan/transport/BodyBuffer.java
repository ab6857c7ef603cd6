package org.zinniaspan.transport;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Buffers a body in blocks, as far as a budget allows. */
final class BodyBuffer {

  private static final int FIRST_BLOCK_BYTES = 1024;
  private static final int MAX_BLOCK_BYTES = 64 * 1024;

  private final BufferBudget.Share share;
  private final List<ByteBuffer> blocks = new ArrayList<>();
  private int capacity;
  private int size;

  /** Creates an empty buffer, which takes the bytes of its blocks from a budget. */
  BodyBuffer(BufferBudget budget) {
    share = budget.share();
  }

  /** Returns how many bytes the buffer takes, of which the budget counts those of large bodies. */
  int capacity() {
    return capacity;
  }

  /** Returns the number of bytes that were added. */
  int size() {
    return size;
  }

  /**
   * Adds a part of the body, as far as the budget allows, and moves the part's position.
   *
   * @return false if the budget is exhausted before the end of the part
   */
  boolean add(ByteBuffer part) {
    while (part.hasRemaining()) {
      if (size == capacity && !addBlock()) {
        return false;
      }
      ByteBuffer block = blocks.get(blocks.size() - 1);
      int count = Math.min(part.remaining(), block.remaining());
      block.put(part.slice(part.position(), count));
      part.position(part.position() + count);
      size += count;
    }
    return true;
  }

  private boolean addBlock() {
    int length = Math.max(FIRST_BLOCK_BYTES, Math.min(capacity, MAX_BLOCK_BYTES));
    if (!share.resize(capacity + length)) {
      return false;
    }
    capacity += length;
    blocks.add(ByteBuffer.allocate(length));
    return true;
  }

  /**
   * Returns the body and drops the blocks; the bytes stay taken from the budget until {@link
   * #release}, as the caller holds them instead.
   */
  byte[] take() {
    byte[] bytes = new byte[size];
    int position = 0;
    for (ByteBuffer block : blocks) {
      int length = block.position();
      block.flip().get(bytes, position, length);
      position += length;
    }
    blocks.clear();
    return bytes;
  }

  /** Drops the blocks and gives all bytes back; does nothing if that was done before. */
  void release() {
    blocks.clear();
    share.release();
  }
}
