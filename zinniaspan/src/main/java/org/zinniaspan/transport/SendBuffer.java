package org.zinniaspan.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.UnmappableCharacterException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.hc.core5.http.nio.SessionOutputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** A growing buffer of bytes that wait to be written to a connection. */
final class SendBuffer implements SessionOutputBuffer {

  private static final int INITIAL_BYTES = 1024;

  /** Largest content that is copied to the other bytes, in bytes. */
  private static final int MAX_COPIED_BYTES = 16 * 1024;

  /** Bytes of one write; the JDK copies them outside the heap and keeps that memory. */
  private static final int MAX_WRITE_BYTES = 64 * 1024;

  private static final char MAX_BYTE = 0xff;

  private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

  /** Bytes that are written before those of {@link #bytes}. */
  private final Deque<ByteBuffer> first = new ArrayDeque<>();

  private ByteBuffer bytes = EMPTY;

  @Override
  public boolean hasData() {
    return bytes.hasRemaining() || !first.isEmpty();
  }

  /** Adds bytes without copying them; they must not change any more. */
  void writeShared(byte[] content) {
    if (content.length <= MAX_COPIED_BYTES) {
      write(ByteBuffer.wrap(content));
      return;
    }
    if (bytes.hasRemaining()) {
      first.add(bytes);
      bytes = EMPTY;
    }
    first.add(ByteBuffer.wrap(content));
  }

  /** Gives up the capacity that an empty buffer does not need. */
  void trim() {
    if (bytes.capacity() > INITIAL_BYTES) {
      bytes = EMPTY;
    }
  }

  @Override
  public int capacity() {
    return bytes.capacity();
  }

  @Override
  public int length() {
    return bytes.remaining() + first.stream().mapToInt(ByteBuffer::remaining).sum();
  }

  @Override
  public int flush(WritableByteChannel channel) throws IOException {
    if (first.isEmpty()) {
      return bytes.hasRemaining() ? writePart(channel, bytes) : 0;
    }
    int count = writePart(channel, first.getFirst());
    if (!first.getFirst().hasRemaining()) {
      first.removeFirst();
    }
    return count;
  }

  private static int writePart(WritableByteChannel channel, ByteBuffer source) throws IOException {
    int length = Math.min(source.remaining(), MAX_WRITE_BYTES);
    int count = channel.write(source.slice(source.position(), length));
    source.position(source.position() + count);
    return count;
  }

  /** Returns the bytes of memory that the buffer takes beyond those of an idle connection. */
  int heldBytes() {
    int shared = first.stream().mapToInt(ByteBuffer::capacity).sum();
    return shared + Math.max(0, bytes.capacity() - INITIAL_BYTES);
  }

  @Override
  public void write(ByteBuffer source) {
    reserve(source.remaining());
    bytes.put(source);
    bytes.flip();
  }

  @Override
  public void write(ReadableByteChannel source) throws IOException {
    reserve(INITIAL_BYTES);
    try {
      source.read(bytes);
    } finally {
      bytes.flip();
    }
  }

  /**
   * Adds a line of a head, each character as one byte.
   *
   * @throws UnmappableCharacterException if a character is no byte; nothing is added then
   */
  @Override
  public void writeLine(CharArrayBuffer line) throws UnmappableCharacterException {
    int length = line == null ? 0 : line.length();
    for (int i = 0; i < length; i++) {
      if (line.charAt(i) > MAX_BYTE) {
        throw new UnmappableCharacterException(1);
      }
    }
    reserve(length + 2);
    for (int i = 0; i < length; i++) {
      bytes.put((byte) line.charAt(i));
    }
    bytes.put((byte) '\r').put((byte) '\n');
    bytes.flip();
  }

  /** Prepares the buffer for writing, with room for at least a number of bytes. */
  private void reserve(int length) {
    if (bytes == EMPTY) {
      bytes = ByteBuffer.allocate(Math.max(INITIAL_BYTES, length));
      return;
    }
    bytes.compact();
    if (bytes.remaining() < length) {
      int needed = bytes.position() + length;
      ByteBuffer larger = ByteBuffer.allocate(Math.max(bytes.capacity() * 2, needed));
      bytes.flip();
      larger.put(bytes);
      bytes = larger;
    }
  }
}
