package org.zinniaspan.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.MessageHeaders;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;

/**
 * The input of a message that states its own end: the end of the input before it is an error.
 *
 * <p>HttpCore's parsers would take the end of the input for the end of a line and of a head.
 */
final class UnendingInput extends FilterInputStream {

  private UnendingInput(InputStream in) {
    super(in);
  }

  /**
   * Returns the input of a body: without an end if the body states its own end in chunks.
   *
   * @param length length of the body, or one of the constants of {@link ContentLengthStrategy}
   */
  static InputStream forBody(long length, InputStream in) {
    return length == ContentLengthStrategy.CHUNKED ? new UnendingInput(in) : in;
  }

  /** Returns a factory of parsers that take a head for complete only with its empty line. */
  static <T extends MessageHeaders> HttpMessageParserFactory<T> parsers(
      HttpMessageParserFactory<T> factory) {
    return config -> {
      HttpMessageParser<T> parser = factory.create(config);
      return (buffer, in) -> parser.parse(buffer, new UnendingInput(in));
    };
  }

  @Override
  public int read() throws IOException {
    return check(super.read());
  }

  @Override
  public int read(byte[] target, int offset, int length) throws IOException {
    return check(super.read(target, offset, length));
  }

  private static int check(int result) throws IOException {
    if (result < 0) {
      throw new ConnectionClosedException("connection closed before the end of the message");
    }
    return result;
  }
}
