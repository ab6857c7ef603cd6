package org.zinniaspan.transport;

import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.Optional;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.impl.nio.IdentityDecoder;
import org.apache.hc.core5.http.impl.nio.LengthDelimitedDecoder;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/** Determines how the body of an HTTP/1.1 message is delimited, and rejects ambiguous framing. */
final class BodyFraming {

  /** Limits on the trailers of a chunked body. */
  private static final Http1Config CHUNK_LIMITS =
      Http1Config.custom().setMaxHeaderCount(100).setMaxLineLength(16 * 1024).build();

  private BodyFraming() {}

  /**
   * Returns the decoder for a request's body; empty if the request has no body.
   *
   * @throws ProtocolException if Transfer-Encoding or Content-Length is invalid, or both are
   *     present: two parsers could disagree on where the body ends
   */
  static Optional<ContentDecoder> requestDecoder(
      HttpMessage head, ReadableByteChannel channel, SessionInputBuffer received)
      throws ProtocolException {
    Optional<Long> length = contentLength(head);
    if (isChunked(head)) {
      if (length.isPresent()) {
        throw new ProtocolException(
            "both Transfer-Encoding and Content-Length are present; only one is allowed");
      }
      return Optional.of(chunked(received));
    }
    return length
        .filter(bytes -> bytes > 0)
        .map(bytes -> lengthDelimited(channel, received, bytes));
  }

  /**
   * Returns the decoder for a response's body; empty if the response has no body.
   *
   * <p>Without a transfer coding or a length, the body extends to the end of the connection. A
   * transfer coding takes precedence over a length.
   *
   * @throws ProtocolException if Transfer-Encoding or Content-Length is invalid
   */
  static Optional<ContentDecoder> responseDecoder(
      HttpResponse head, ReadableByteChannel channel, SessionInputBuffer received)
      throws ProtocolException {
    int status = head.getCode();
    if (status == HttpStatus.SC_NO_CONTENT || status == HttpStatus.SC_NOT_MODIFIED) {
      return Optional.empty();
    }
    Optional<Long> length = contentLength(head);
    if (isChunked(head)) {
      return Optional.of(chunked(received));
    }
    if (length.isEmpty()) {
      return Optional.of(new IdentityDecoder(channel, received, new BasicHttpTransportMetrics()));
    }
    return length
        .filter(bytes -> bytes > 0)
        .map(bytes -> lengthDelimited(channel, received, bytes));
  }

  /**
   * Returns a decoder that ends only with the empty line after the last chunk. At the end of its
   * channel, the decoder of HttpCore would take an incomplete chunk size or trailer for a complete
   * one.
   */
  private static ContentDecoder chunked(SessionInputBuffer received) {
    return new ChunkDecoder(
        EmptyChannel.INSTANCE, received, CHUNK_LIMITS, new BasicHttpTransportMetrics());
  }

  private static ContentDecoder lengthDelimited(
      ReadableByteChannel channel, SessionInputBuffer received, long bytes) {
    return new LengthDelimitedDecoder(channel, received, new BasicHttpTransportMetrics(), bytes);
  }

  private static boolean isChunked(HttpMessage head) throws ProtocolException {
    Header[] codings = head.getHeaders(HttpHeaders.TRANSFER_ENCODING);
    if (codings.length == 0) {
      return false;
    }
    if (codings.length > 1 || !codings[0].getValue().trim().equalsIgnoreCase("chunked")) {
      throw new ProtocolException(
          "unsupported Transfer-Encoding; only a single 'chunked' is accepted");
    }
    return true;
  }

  /** Returns the stated length of a body in bytes; 0 if there is none. */
  static long statedLength(HttpMessage head) throws ProtocolException {
    return contentLength(head).orElse(0L);
  }

  private static Optional<Long> contentLength(HttpMessage head) throws ProtocolException {
    Header[] lengths = head.getHeaders(HttpHeaders.CONTENT_LENGTH);
    if (lengths.length == 0) {
      return Optional.empty();
    }
    String value = lengths[0].getValue() == null ? "" : lengths[0].getValue().trim();
    if (lengths.length > 1 || !value.matches("[0-9]{1,18}")) {
      throw new ProtocolException(
          "Content-Length '" + value + "' is not a single whole number of at most 18 digits");
    }
    return Optional.of(Long.parseLong(value));
  }

  /** A channel without bytes that does not end. */
  private enum EmptyChannel implements ReadableByteChannel {
    INSTANCE;

    @Override
    public int read(ByteBuffer target) {
      return 0;
    }

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public void close() {
      // Decoders must not close the connection.
    }
  }
}
