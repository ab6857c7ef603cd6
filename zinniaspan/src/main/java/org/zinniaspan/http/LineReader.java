package org.zinniaspan.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Reads lines of limited length from a stream whose reads may time out.
 *
 * <p>A partly read line is kept, so that a read that timed out can be repeated without losing
 * bytes. Used by one thread.
 */
final class LineReader {

  private static final int BUFFER_BYTES = 4 * 1024;

  private final InputStream in;
  private final int maxBytes;
  private final byte[] buffer = new byte[BUFFER_BYTES];
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private int position;
  private int bufferedBytes;

  LineReader(InputStream in, int maxBytes) {
    this.in = in;
    this.maxBytes = maxBytes;
  }

  /**
   * Returns the next line without its line ending, or empty at the end of the input; an
   * unterminated last line is dropped.
   *
   * @throws IOException if the line is too long, or reading fails or times out
   */
  Optional<String> read() throws IOException {
    while (true) {
      if (position == bufferedBytes && !fill()) {
        return Optional.empty();
      }
      byte next = buffer[position++];
      if (next == '\n') {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        return Optional.of(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
      }
      if (line.size() == maxBytes) {
        throw new IOException("a line is longer than " + maxBytes + " bytes");
      }
      line.write(next);
    }
  }

  private boolean fill() throws IOException {
    int count = in.read(buffer, 0, buffer.length);
    position = 0;
    bufferedBytes = Math.max(0, count);
    return count > 0;
  }
}
