package org.zinniaspan.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParser;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriter;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.zinniaspan.clock.Clock;

/**
 * A client's connection, which reads one complete request at a time and writes its response.
 *
 * <p>Reading continues while a request is in progress, so that a client's disconnect is detected at
 * once.
 */
public final class InboundConnection extends Connection {

  private static final int READ_BUFFER_BYTES = 8 * 1024;

  /** Bytes of a request head that the limit on header bytes does not count, such as its method. */
  private static final int UNCOUNTED_HEAD_BYTES = 256;

  private static final byte[] CONTINUE_RESPONSE =
      "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] CRLF = "\r\n".getBytes(StandardCharsets.US_ASCII);

  private enum Phase {
    HEAD,
    BODY,
    ANSWER,
    /** The response is sent, and the rest of the request is skipped. */
    SKIPPING,
    CLOSING
  }

  private final InboundHandler handler;
  private final Clock clock;
  private final DefaultHttpRequestParser<HttpRequest> parser;
  private Phase phase = Phase.HEAD;
  private HttpRequest head;
  private ContentDecoder decoder;
  private BodyBuffer body = new BodyBuffer(new BufferBudget(0));
  private boolean chunked;
  private boolean closeAfterResponse;
  private boolean parsing;
  private long waitingSinceMs;
  private boolean requestStarted;
  private boolean skipsRest;
  private long skippedBytes;

  /** Creates a connection that passes its requests to a handler. */
  public InboundConnection(Reactor reactor, InboundHandler handler, Clock clock) {
    super(
        reactor,
        handler.limits().maxHeaderBytes(),
        handler.limits().maxHeaderBytes() + UNCOUNTED_HEAD_BYTES);
    this.handler = handler;
    this.clock = clock;
    this.parser =
        new DefaultHttpRequestParser<>(
            DefaultHttpRequestFactory.INSTANCE,
            Http1Config.custom()
                .setMaxLineLength(handler.limits().maxHeaderBytes())
                .setMaxHeaderCount(100)
                .build());
  }

  @Override
  protected void onOpen() {
    waitingSinceMs = clock.nowMs();
    handler.onOpen(this);
  }

  /** Returns whether no request is being read or processed. */
  public boolean isIdle() {
    return phase == Phase.HEAD && !requestStarted;
  }

  /**
   * Enforces the timeouts on an idle connection, a request head and a request body.
   *
   * <p>An idle connection is closed; an incomplete request is rejected with status 408. The timeout
   * on a body counts from the last bytes received.
   */
  public void checkTimeout(long nowMs) {
    long waitingMs = nowMs - waitingSinceMs;
    if (isIdle() && waitingMs > handler.limits().idleTimeoutMs()) {
      closeAndNotify();
    } else if (phase == Phase.HEAD
        && requestStarted
        && waitingMs > handler.limits().headerTimeoutMs()) {
      reject(
          HttpStatus.SC_REQUEST_TIMEOUT,
          "the request head was not complete before the header timeout");
    } else if (phase == Phase.SKIPPING && waitingMs > handler.limits().headerTimeoutMs()) {
      closeAndNotify();
    } else if (phase == Phase.BODY && waitingMs > handler.limits().idleTimeoutMs()) {
      reject(
          HttpStatus.SC_REQUEST_TIMEOUT,
          "no more bytes of the request body arrived before the idle timeout");
    }
  }

  @Override
  protected void onReceived() throws IOException {
    if (parsing) {
      return;
    }
    parsing = true;
    try {
      while (isOpen() && parseStep()) {
        // Repeats until more bytes are needed or a response is due.
      }
      if (inputEnded() && isOpen()) {
        closeAndNotify();
      }
    } catch (MessageConstraintException | RequestHeaderFieldsTooLargeException e) {
      reject(HttpStatus.SC_REQUEST_HEADER_FIELDS_TOO_LARGE, e.getMessage());
    } catch (HttpException e) {
      reject(HttpStatus.SC_BAD_REQUEST, e.getMessage());
    } finally {
      parsing = false;
    }
  }

  private boolean parseStep() throws IOException, HttpException {
    return switch (phase) {
      case HEAD -> parseHead();
      case BODY -> parseBody();
      case SKIPPING -> skipBody();
      default -> false;
    };
  }

  private boolean parseHead() throws IOException, HttpException {
    if (received.hasData() && !requestStarted) {
      requestStarted = true;
      waitingSinceMs = clock.nowMs();
    }
    // With the end of the input, the parser would take an incomplete head for a complete one.
    head = parser.parse(received, false);
    if (head == null) {
      return false;
    }
    parser.reset();
    received.endHead();
    if (headBytes(head) > handler.limits().maxHeaderBytes()) {
      throw new MessageConstraintException("the request head exceeds the limit on header bytes");
    }
    final Optional<ContentDecoder> framing = BodyFraming.requestDecoder(head, channel(), received);
    closeAfterResponse = requestsClose(head);
    body = new BodyBuffer(handler.bodyBudget(head));
    waitingSinceMs = clock.nowMs();
    if (framing.isEmpty()) {
      handleRequest();
      return false;
    }
    decoder = framing.get();
    phase = Phase.BODY;
    if (head.containsHeader(HttpHeaders.EXPECT) && !received.hasData()) {
      unsent.write(ByteBuffer.wrap(CONTINUE_RESPONSE));
      flush();
    }
    return true;
  }

  private boolean parseBody() throws IOException {
    ByteBuffer part = ByteBuffer.allocate(READ_BUFFER_BYTES);
    int count = decoder.read(part);
    if (count > 0) {
      waitingSinceMs = clock.nowMs();
      resumeReading();
    }
    if (body.size() + part.flip().remaining() > handler.limits().maxBodyBytes()) {
      reject(HttpStatus.SC_REQUEST_TOO_LONG, "the request body exceeds the limit on body bytes");
      return false;
    }
    if (!body.add(part)) {
      body.release();
      phase = Phase.ANSWER;
      closeAfterResponse = true;
      skipsRest = true;
      handler.onBudgetExhausted(this, head);
      return true;
    }
    if (decoder.isCompleted()) {
      handleRequest();
      return false;
    }
    return count > 0;
  }

  /** Skips the rest of a body, as the client may read the response only after sending it all. */
  private boolean skipBody() throws IOException {
    ByteBuffer part = ByteBuffer.allocate(READ_BUFFER_BYTES);
    final int count = decoder.read(part);
    skippedBytes += part.position();
    if (decoder.isCompleted() || skippedBytes > handler.limits().maxBodyBytes()) {
      phase = Phase.CLOSING;
      flush();
      return false;
    }
    resumeReading();
    return count > 0;
  }

  private void handleRequest() {
    phase = Phase.ANSWER;
    requestStarted = false;
    received.endHead();
    handler.onRequest(this, head, body.take());
  }

  private void reject(int status, String reason) {
    phase = Phase.ANSWER;
    closeAfterResponse = true;
    handler.onUnreadable(this, status, String.valueOf(reason));
  }

  private static boolean requestsClose(HttpRequest head) {
    boolean closesByDefault =
        head.getVersion() != null && head.getVersion().lessEquals(HttpVersion.HTTP_1_0);
    Header connection = head.getFirstHeader(HttpHeaders.CONNECTION);
    if (connection == null) {
      return closesByDefault;
    }
    return connection.getValue().toLowerCase().contains("close");
  }

  private static int headBytes(HttpRequest head) {
    int bytes = head.getPath() == null ? 0 : head.getPath().length();
    for (Header header : head.getHeaders()) {
      int value = header.getValue() == null ? 0 : header.getValue().length();
      bytes += header.getName().length() + value + 4; // 4 bytes of ": " and CRLF
    }
    return bytes;
  }

  /** Makes the connection close after the next response. */
  public void closeAfterResponse() {
    closeAfterResponse = true;
  }

  /** Sends a response with its complete body. */
  public void sendResponse(HttpResponse response, byte[] content) {
    response.setHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(content.length));
    writeHead(response);
    unsent.writeShared(content);
    awaitNextRequest();
  }

  /** Starts a response of unknown length, with chunked transfer coding. */
  public void startChunked(HttpResponse response) {
    chunked = true;
    response.setHeader(HttpHeaders.TRANSFER_ENCODING, "chunked");
    writeHead(response);
  }

  /** Buffers a part of the body of a started response; {@link #flushResponse} sends it. */
  public void writeBody(ByteBuffer content) {
    if (!content.hasRemaining()) {
      return;
    }
    if (chunked) {
      String size = Integer.toHexString(content.remaining()) + "\r\n";
      unsent.write(ByteBuffer.wrap(size.getBytes(StandardCharsets.US_ASCII)));
    }
    unsent.write(content);
    if (chunked) {
      unsent.write(ByteBuffer.wrap(CRLF));
    }
  }

  /** Sends the buffered bytes. */
  public void flushResponse() {
    flushOrFail();
  }

  /** Returns the number of response bytes that have not been written to the socket yet. */
  public int unsentBytes() {
    return unsent.length();
  }

  /** Finishes a started response and sends what is left of it. */
  public void finishResponse() {
    if (chunked) {
      unsent.write(ByteBuffer.wrap(LAST_CHUNK));
    }
    awaitNextRequest();
  }

  private void writeHead(HttpResponse response) {
    response.setVersion(HttpVersion.HTTP_1_1);
    if (closeAfterResponse) {
      response.setHeader(HttpHeaders.CONNECTION, "close");
    }
    try {
      new DefaultHttpResponseWriter<HttpResponse>().write(response, unsent);
    } catch (IOException | HttpException e) {
      fail(e);
    }
  }

  private void awaitNextRequest() {
    chunked = false;
    body.release();
    received.trim();
    if (skipsRest) {
      phase = Phase.SKIPPING;
      waitingSinceMs = clock.nowMs();
      flushOrFail();
      resumeReading();
      continueParsing();
      return;
    }
    if (closeAfterResponse || inputEnded()) {
      phase = Phase.CLOSING;
      flushOrFail();
      return;
    }
    phase = Phase.HEAD;
    waitingSinceMs = clock.nowMs();
    flushOrFail();
    resumeReading();
    if (received.hasData()) {
      continueParsing();
    }
  }

  private void continueParsing() {
    try {
      onReceived();
    } catch (IOException e) {
      fail(e);
    }
  }

  @Override
  protected void onFlushed() {
    if (phase == Phase.CLOSING) {
      closeAndNotify();
    }
  }

  @Override
  protected void onClosed() {
    body.release();
  }

  @Override
  protected void onDisconnect(Optional<Exception> cause) {
    handler.onDisconnect(this);
  }
}
