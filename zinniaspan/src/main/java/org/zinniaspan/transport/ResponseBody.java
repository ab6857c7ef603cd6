package org.zinniaspan.transport;

import java.nio.ByteBuffer;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;

/** Buffers the body of a response, up to a size that no sound response reaches. */
public final class ResponseBody {

  /** Largest body that is buffered, in bytes. */
  public static final int MAX_BYTES = 4 * 1024 * 1024;

  private final BodyBuffer bytes;

  /**
   * Creates an empty body.
   *
   * @param budget limits the sum of the bodies of several responses
   */
  public ResponseBody(BufferBudget budget) {
    bytes = new BodyBuffer(budget);
  }

  /**
   * Returns whether the head of a response states where its body ends. Otherwise the end of the
   * connection ends it, so that a body that was cut off looks complete.
   */
  public static boolean statesEnd(HttpMessage head) {
    return head.containsHeader(HttpHeaders.CONTENT_LENGTH)
        || head.containsHeader(HttpHeaders.TRANSFER_ENCODING);
  }

  /**
   * Adds a part of the body.
   *
   * @return false if the body is too large, or all bodies together; the body is of no use then
   */
  public boolean add(ByteBuffer part) {
    return bytes.size() + part.remaining() <= MAX_BYTES && bytes.add(part);
  }

  /** Returns the body, and drops it from the buffer. */
  public byte[] take() {
    return bytes.take();
  }

  /** Gives the bytes of the body back to the budget. */
  public void release() {
    bytes.release();
  }
}
