package org.zinniaspan.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** A growing buffer of bytes that were received and not parsed yet. */
final class ReceiveBuffer implements SessionInputBuffer {

  private static final int INITIAL_BYTES = 2 * 1024;

  private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

  /** About what a parser takes for each character of a line, and for each line, in bytes. */
  private static final int BYTES_PER_CHARACTER = 2;

  private static final int BYTES_PER_LINE = 200;

  private final int maxLineBytes;
  private final int maxHeadBytes;
  private int headBytes;
  private int headLines;
  private ByteBuffer bytes = EMPTY;

  /**
   * Creates an empty buffer.
   *
   * @param maxLineBytes longest line that {@link #readLine} accepts, in bytes
   * @param maxHeadBytes largest sum of the lines of a head or of trailers, in bytes
   */
  ReceiveBuffer(int maxLineBytes, int maxHeadBytes) {
    this.maxLineBytes = maxLineBytes;
    this.maxHeadBytes = maxHeadBytes;
  }

  /** Starts to count lines anew after the end of a head or of trailers. */
  void endHead() {
    headBytes = 0;
    headLines = 0;
  }

  /** Returns about how many bytes this buffer and the lines of an unfinished head take. */
  int heldBytes() {
    int capacity = Math.max(0, bytes.capacity() - INITIAL_BYTES);
    return capacity + BYTES_PER_CHARACTER * headBytes + BYTES_PER_LINE * headLines;
  }

  @Override
  public boolean hasData() {
    return bytes.hasRemaining();
  }

  @Override
  public int length() {
    return bytes.remaining();
  }

  /** Drops the unparsed bytes and gives up all capacity. */
  void clear() {
    bytes = EMPTY;
    endHead();
  }

  /** Gives up capacity that the unparsed bytes do not need. */
  void trim() {
    if (bytes.capacity() <= INITIAL_BYTES || bytes.capacity() / 2 < bytes.remaining()) {
      return;
    }
    bytes = bytes.hasRemaining() ? copy(bytes.remaining()) : EMPTY;
  }

  private ByteBuffer copy(int capacity) {
    return ByteBuffer.allocate(capacity).put(bytes).flip();
  }

  @Override
  public int fill(ReadableByteChannel channel) throws IOException {
    if (bytes.remaining() == bytes.capacity()) {
      bytes = copy(Math.max(INITIAL_BYTES, bytes.capacity() * 2));
    }
    bytes.compact();
    try {
      return channel.read(bytes);
    } finally {
      bytes.flip();
    }
  }

  @Override
  public int read() {
    return bytes.get() & 0xff;
  }

  @Override
  public int read(ByteBuffer target, int maxLength) {
    int length = Math.min(Math.min(maxLength, target.remaining()), bytes.remaining());
    target.put(bytes.slice(bytes.position(), length));
    bytes.position(bytes.position() + length);
    if (length > 0) {
      // The lines between two chunks are no head.
      endHead();
    }
    return length;
  }

  @Override
  public int read(ByteBuffer target) {
    return read(target, target.remaining());
  }

  @Override
  public int read(WritableByteChannel target, int maxLength) throws IOException {
    int length = Math.min(maxLength, bytes.remaining());
    int written = target.write(bytes.slice(bytes.position(), length));
    bytes.position(bytes.position() + written);
    return written;
  }

  @Override
  public int read(WritableByteChannel target) throws IOException {
    return read(target, bytes.remaining());
  }

  /** Reads a line; one without its line feed is not complete, also at the end of the input. */
  @Override
  public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
    int end = bytes.position();
    while (end < bytes.limit() && bytes.get(end) != '\n') {
      end++;
    }
    boolean found = end < bytes.limit();
    int length = end - bytes.position();
    if (length > maxLineBytes || (!found && length >= maxLineBytes)) {
      throw new MessageConstraintException(
          "a line exceeds the limit of " + maxLineBytes + " bytes");
    }
    if (headBytes + length > maxHeadBytes) {
      throw new MessageConstraintException(
          "the lines of a head exceed the limit of " + maxHeadBytes + " bytes");
    }
    if (!found) {
      return false;
    }
    headBytes += length + 1;
    headLines++;
    line.ensureCapacity(length);
    int textEnd = end > bytes.position() && bytes.get(end - 1) == '\r' ? end - 1 : end;
    for (int i = bytes.position(); i < textEnd; i++) {
      line.append((char) (bytes.get(i) & 0xff));
    }
    bytes.position(end + 1);
    return true;
  }
}
