package org.zinniaspan.transport;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Buffers the body of a response, up to a size that no sound response reaches. */
public final class ResponseBody {

  /** Largest body that is buffered, in bytes. */
  public static final int MAX_BYTES = 4 * 1024 * 1024;

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  /** Creates an empty body. */
  public ResponseBody() {}

  /**
   * Adds a part of the body.
   *
   * @return false if the body is too large, and the part was not added
   */
  public boolean add(ByteBuffer part) {
    if (bytes.size() + part.remaining() > MAX_BYTES) {
      return false;
    }
    bytes.write(part.array(), part.arrayOffset() + part.position(), part.remaining());
    return true;
  }

  /** Returns the bytes added so far. */
  public byte[] toByteArray() {
    return bytes.toByteArray();
  }
}
