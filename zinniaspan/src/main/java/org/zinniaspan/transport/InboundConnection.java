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
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParser;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriter;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.http.RequestTargets;
import org.zinniaspan.http.StrictLineParser;

/**
 * A client's connection, which reads one complete request at a time and writes its response.
 *
 * <p>Reading continues while a request is in progress, so that a client's disconnect is detected at
 * once.
 */
public final class InboundConnection extends Connection {

  /** Bytes after a request that are read before its response, to notice a disconnect. */
  private static final int MAX_PIPELINED_BYTES = 4 * 1024;

  /** Bytes of a body that are parsed at once, before other connections have their turn. */
  private static final int MAX_BODY_READ_BYTES = 16 * 1024;

  /** Unread bytes of responses with which no further request is taken. */
  private static final int MAX_UNREAD_BYTES = 64 * 1024;

  /** About what a connection takes without any bytes, in bytes. */
  private static final int BASE_BYTES = 4 * 1024;

  /** About what a parsed header takes beside its characters, in bytes. */
  private static final int BYTES_PER_HEADER = 150;

  /** Bytes of a request head that the limit on header bytes does not count, such as its method. */
  private static final int UNCOUNTED_HEAD_BYTES = 256;

  private static final byte[] CONTINUE_RESPONSE =
      "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] CRLF = "\r\n".getBytes(StandardCharsets.US_ASCII);

  private static final BufferBudget NO_BUDGET = new BufferBudget(0);

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
  private final InboundConnections connections;
  private final DefaultHttpRequestParser<HttpRequest> parser;
  private Phase phase = Phase.HEAD;
  private HttpRequest head;
  private ContentDecoder decoder;
  private BufferBudget budget = NO_BUDGET;
  private BodyBuffer body = new BodyBuffer(NO_BUDGET);
  private boolean chunked;
  private boolean closeAfterResponse;
  private boolean parsing;
  private long waitingSinceMs;
  private boolean requestStarted;
  private boolean skipsRest;
  private long skippedBytes;
  private int headBytes;
  private long recordedBytes;
  private long pendingSinceMs;
  private long lastWriteMs;

  /** Creates a connection without limits beside others. */
  public InboundConnection(Reactor reactor, InboundHandler handler, Clock clock) {
    this(reactor, handler, clock, InboundConnections.unlimited(clock));
  }

  /**
   * Creates a connection that passes its requests to a handler.
   *
   * @param connections the connections of the same listener, with their limits
   */
  public InboundConnection(
      Reactor reactor, InboundHandler handler, Clock clock, InboundConnections connections) {
    super(
        reactor,
        handler.limits().maxHeaderBytes(),
        handler.limits().maxHeaderBytes() + UNCOUNTED_HEAD_BYTES);
    this.handler = handler;
    this.clock = clock;
    this.connections = connections;
    this.parser =
        new DefaultHttpRequestParser<>(
            RequestTargets.FACTORY,
            StrictLineParser.INSTANCE,
            Http1Config.custom()
                .setMaxLineLength(handler.limits().maxHeaderBytes())
                .setMaxHeaderCount(100)
                .build());
  }

  @Override
  protected void onOpen() {
    waitingSinceMs = clock.nowMs();
    pendingSinceMs = waitingSinceMs;
    connections.add(this);
    handler.onOpen(this);
  }

  @Override
  protected int maxUnparsedBytes() {
    return switch (phase) {
      case ANSWER -> MAX_PIPELINED_BYTES;
      case BODY, SKIPPING -> MAX_BODY_READ_BYTES;
      default -> super.maxUnparsedBytes();
    };
  }

  @Override
  protected void onBuffersChanged() {
    long bytes = isOpen() ? heldBytes() : 0;
    connections.onChanged(this, bytes - recordedBytes);
    recordedBytes = bytes;
  }

  private long heldBytes() {
    // A budget counts the rest of the body.
    long uncounted = Math.min(body.capacity(), BufferBudget.UNCOUNTED_BYTES);
    return received.heldBytes() + unsent.heldBytes() + uncounted + headBytes;
  }

  /** Returns the bytes that were last reported to the connections of the listener. */
  long recordedBytes() {
    return recordedBytes;
  }

  /** Returns the bytes that the connection holds times how long it has not got any further. */
  long weight(long nowMs) {
    return (BASE_BYTES + recordedBytes + body.capacity()) * (nowMs - pendingSinceMs + 1);
  }

  /** Returns whether no request is in progress, or its client does not read the response. */
  boolean isClosable() {
    return phase != Phase.ANSWER || unsent.hasData();
  }

  /** Returns whether the connection reads a body that takes bytes of a budget. */
  boolean isReadingBody(BufferBudget of) {
    return phase == Phase.BODY && budget == of && body.capacity() > BufferBudget.UNCOUNTED_BYTES;
  }

  /** Resets the connection, as the connections of the listener exceed their limits. */
  void closeForLimits() {
    fail(new IOException("closed in favour of other connections"));
  }

  /** Returns whether no request is being read or processed, and no response being written. */
  public boolean isIdle() {
    return phase == Phase.HEAD && !requestStarted && !unsent.hasData();
  }

  /** Returns whether a request has begun to arrive and is not complete. */
  public boolean isReadingRequest() {
    return phase == Phase.BODY || (phase == Phase.HEAD && requestStarted);
  }

  /**
   * Enforces the timeouts on an idle connection, a request head and a request body.
   *
   * <p>An idle connection is closed; an incomplete request is rejected with status 408. The timeout
   * on a body counts from the last bytes received.
   */
  public void checkTimeout(long nowMs) {
    long waitingMs = nowMs - waitingSinceMs;
    if (unsent.hasData()) {
      if (nowMs - Math.max(lastWriteMs, pendingSinceMs) > handler.limits().idleTimeoutMs()) {
        fail(new IOException("the client does not read the response"));
      }
    } else if (isIdle() && waitingMs > handler.limits().idleTimeoutMs()) {
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
    if (unsent.length() > MAX_UNREAD_BYTES) {
      return false;
    }
    if (received.hasData() && !requestStarted) {
      requestStarted = true;
      waitingSinceMs = clock.nowMs();
      pendingSinceMs = waitingSinceMs;
    }
    // With the end of the input, the parser would take an incomplete head for a complete one.
    head = parser.parse(received, false);
    if (head == null) {
      return false;
    }
    parser.reset();
    received.endHead();
    int size = headBytes(head);
    headBytes = size + BYTES_PER_HEADER * head.getHeaders().length;
    if (size > handler.limits().maxHeaderBytes()) {
      throw new MessageConstraintException("the request head exceeds the limit on header bytes");
    }
    final Optional<ContentDecoder> framing = BodyFraming.requestDecoder(head, channel(), received);
    closeAfterResponse = requestsClose(head);
    budget = handler.bodyBudget(head);
    body = new BodyBuffer(budget);
    waitingSinceMs = clock.nowMs();
    if (framing.isEmpty()) {
      return handleRequest();
    }
    decoder = framing.get();
    if (BodyFraming.statedLength(head) > handler.limits().maxBodyBytes()) {
      rejectTooLong();
      return true;
    }
    phase = Phase.BODY;
    if (head.containsHeader(HttpHeaders.EXPECT) && !received.hasData()) {
      unsent.write(ByteBuffer.wrap(CONTINUE_RESPONSE));
      flush();
    }
    return true;
  }

  private boolean parseBody() throws IOException {
    ByteBuffer part = reactor().scratch();
    int count = readParts(part);
    if (count > 0) {
      waitingSinceMs = clock.nowMs();
      resumeReading();
    }
    if (body.size() + part.flip().remaining() > handler.limits().maxBodyBytes()) {
      rejectTooLong();
      return true;
    }
    if (!addToBody(part)) {
      refuseBody();
      return true;
    }
    if (decoder.isCompleted()) {
      return handleRequest();
    }
    return count > 0;
  }

  /**
   * Adds to the body; without room, refuses the unfinished bodies that hold most for longest.
   *
   * @return false if this body is one of them
   */
  private boolean addToBody(ByteBuffer part) {
    while (!body.add(part)) {
      InboundConnection heaviest = reactor().heaviestBody(budget, clock.nowMs()).orElse(this);
      if (heaviest == this) {
        return false;
      }
      heaviest.refuseBody();
      heaviest.onBuffersChanged();
    }
    return true;
  }

  /** Refuses the request whose body is being read, and skips the rest of the body. */
  private void refuseBody() {
    body.release();
    phase = Phase.ANSWER;
    closeAfterResponse = true;
    skipsRest = true;
    handler.onBudgetExhausted(this, head);
  }

  private void rejectTooLong() {
    skipsRest = true;
    reject(HttpStatus.SC_REQUEST_TOO_LONG, "the request body exceeds the limit on body bytes");
  }

  /** Reads as many chunks as there are, or as the buffer takes; returns the bytes read. */
  private int readParts(ByteBuffer part) throws IOException {
    int before;
    do {
      before = part.position();
      decoder.read(part);
    } while (part.position() > before && part.hasRemaining() && !decoder.isCompleted());
    return part.position();
  }

  /** Skips the rest of a body, as the client may read the response only after sending it all. */
  private boolean skipBody() throws IOException {
    // Not the scratch buffer: another connection may skip while this one adds to its body.
    ByteBuffer part = reactor().skipped();
    final int count = readParts(part);
    skippedBytes += part.position();
    if (decoder.isCompleted() || skippedBytes > handler.limits().maxBodyBytes()) {
      phase = Phase.CLOSING;
      flush();
      return false;
    }
    resumeReading();
    return count > 0;
  }

  /** Passes the request on; returns whether the next one may follow, as it is answered. */
  private boolean handleRequest() {
    phase = Phase.ANSWER;
    requestStarted = false;
    received.endHead();
    handler.onRequest(this, head, body.take());
    return phase == Phase.HEAD;
  }

  private void reject(int status, String reason) {
    if (phase == Phase.SKIPPING || phase == Phase.CLOSING) {
      // The response was sent, and a second one must not follow.
      closeAndNotify();
      return;
    }
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
    pendingSinceMs = clock.nowMs();
    writeHead(response);
    unsent.writeShared(content);
    awaitNextRequest();
  }

  /** Starts a response of unknown length, with chunked transfer coding. */
  public void startChunked(HttpResponse response) {
    chunked = true;
    pendingSinceMs = clock.nowMs();
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
    } catch (RuntimeException e) {
      // The request counts as answered, so that nothing else would end it.
      fail(e);
      throw e;
    }
  }

  private void awaitNextRequest() {
    chunked = false;
    body.release();
    body = new BodyBuffer(NO_BUDGET);
    head = null;
    headBytes = 0;
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
  protected void onWritten() {
    lastWriteMs = clock.nowMs();
  }

  @Override
  protected void onFlushed() {
    pendingSinceMs = clock.nowMs();
    if (phase == Phase.CLOSING) {
      closeAndNotify();
    } else if (phase == Phase.HEAD && received.hasData()) {
      // The next request may have waited until the client read its responses.
      continueParsing();
    }
  }

  @Override
  protected void onClosed() {
    parser.reset();
    body.release();
    connections.remove(this);
    recordedBytes = 0;
  }

  @Override
  protected void onDisconnect(Optional<Exception> cause) {
    handler.onDisconnect(this);
  }
}
