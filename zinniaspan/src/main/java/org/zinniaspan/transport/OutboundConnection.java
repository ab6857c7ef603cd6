package org.zinniaspan.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriter;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParser;
import org.apache.hc.core5.http.impl.nio.IdentityDecoder;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.zinniaspan.http.StrictLineParser;

/**
 * A connection to an endpoint or to the platform, which carries one request at a time.
 *
 * <p>A response that belongs to another request is skipped. Bytes that arrive while no request is
 * in progress close the connection.
 */
public final class OutboundConnection extends Connection {

  private static final int READ_BUFFER_BYTES = 16 * 1024;

  /**
   * Bytes of a request that the operating system may hold. What it holds counts as written, so that
   * more would hide that the remote side has ended the connection without reading the request.
   */
  private static final int SEND_BUFFER_BYTES = 64 * 1024;

  /** Largest head of a response, and largest line of it, in bytes. */
  private static final int MAX_HEAD_BYTES = 64 * 1024;

  private static final int MAX_HEADERS = 100;
  private static final int MAX_INFORMATIONAL_HEADS = 10;
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1[.][01] [0-9]{3}");

  private final Consumer<OutboundConnection> onIdleClose;
  private final BufferBudget.Share heldShare;
  private final DefaultHttpResponseParser<HttpResponse> parser =
      new DefaultHttpResponseParser<>(
          DefaultHttpResponseFactory.INSTANCE,
          StrictLineParser.INSTANCE,
          Http1Config.custom()
              .setMaxLineLength(MAX_HEAD_BYTES)
              .setMaxHeaderCount(MAX_HEADERS)
              .build());
  private Runnable openedCallback = () -> {};
  private ResponseHandler handler;
  private ContentDecoder decoder;
  private boolean opened;
  private boolean skippingResponse;
  private int informationalHeads;
  private long skippedBytes;
  private boolean reusable = true;
  private int sentRequests;
  private Optional<Long> keepAliveMs = Optional.empty();

  /** Creates a connection that is not open yet, without limits beside others. */
  OutboundConnection(Reactor reactor, Consumer<OutboundConnection> onIdleClose) {
    this(reactor, new BufferBudget(Long.MAX_VALUE), onIdleClose);
  }

  /**
   * Creates a connection that is not open yet.
   *
   * @param budget limits the unfinished heads and unparsed bytes of several connections together
   */
  OutboundConnection(
      Reactor reactor, BufferBudget budget, Consumer<OutboundConnection> onIdleClose) {
    super(reactor, MAX_HEAD_BYTES, MAX_HEAD_BYTES);
    this.heldShare = budget.share();
    this.onIdleClose = onIdleClose;
  }

  /**
   * Opens a connection.
   *
   * @param timeoutMs connect timeout in milliseconds
   * @param budget limits the unfinished heads and unparsed bytes of several connections together
   * @param onIdleClose called if the connection ends while it carries no request
   */
  public static OutboundConnection open(
      Reactor reactor,
      InetSocketAddress address,
      long timeoutMs,
      BufferBudget budget,
      Consumer<OutboundConnection> onIdleClose) {
    OutboundConnection connection = new OutboundConnection(reactor, budget, onIdleClose);
    reactor.connect(address, timeoutMs, connection);
    return connection;
  }

  /**
   * Sends a request; while the connection is being opened, the request stays in the send buffer.
   */
  public void send(HttpRequest head, byte[] body, ResponseHandler responseHandler) {
    handler = responseHandler;
    sentRequests++;
    head.setVersion(HttpVersion.HTTP_1_1);
    try {
      new DefaultHttpRequestWriter<HttpRequest>().write(head, unsent);
    } catch (IOException | HttpException e) {
      fail(e);
      return;
    }
    unsent.writeShared(body);
    if (opened) {
      flushOrFail();
    }
  }

  /** Sets a callback for the time when the connection is opened; it is not called if it is open. */
  public void whenOpened(Runnable callback) {
    if (!opened) {
      openedCallback = callback;
    }
  }

  /** Returns whether this connection can carry another request. */
  public boolean isReusable() {
    return reusable
        && opened
        && isOpen()
        && handler == null
        && !received.hasData()
        && !inputEnded();
  }

  /**
   * Returns whether the connection carried another request before the one that was sent last, so
   * that bytes that arrive may belong to that one.
   */
  public boolean wasReused() {
    return sentRequests > 1;
  }

  /** Returns whether the connection was opened, so that bytes may have reached the remote side. */
  public boolean wasOpened() {
    return opened;
  }

  /**
   * Returns the remote side's idle timeout in milliseconds, if its last response announced one in a
   * Keep-Alive header.
   */
  public Optional<Long> keepAliveMs() {
    return keepAliveMs;
  }

  @Override
  protected void onOpen() throws IOException {
    setSendBufferSize(SEND_BUFFER_BYTES);
    opened = true;
    openedCallback.run();
    // The callback holds the request.
    openedCallback = () -> {};
    flushOrFail();
  }

  @Override
  protected void onBuffersChanged() {
    if (isOpen() && !heldShare.resize(received.heldBytes())) {
      fail(new IOException("the heads of responses fill the memory"));
    }
  }

  @Override
  protected void onClosed() {
    parser.reset();
    heldShare.release();
  }

  @Override
  protected void onReceived() throws IOException {
    try {
      while (isOpen() && handler != null && parseStep()) {
        // Repeats until more bytes are needed.
      }
    } catch (HttpException e) {
      fail(e);
      return;
    }
    if (isOpen() && handler == null && (received.hasData() || inputEnded())) {
      closeAndNotify();
    } else if (isOpen() && inputEnded()) {
      closeAndNotify();
    }
  }

  private boolean parseStep() throws IOException, HttpException {
    return decoder == null ? parseHead() : parseBody();
  }

  private boolean parseHead() throws IOException, HttpException {
    // With the end of the input, the parser would take an incomplete head for a complete one.
    HttpResponse head = parser.parse(received, false);
    if (head == null) {
      // The parser may have taken lines, so that there is room for the rest of the next one.
      resumeReading();
      return false;
    }
    parser.reset();
    received.endHead();
    checkSingleHead(head);
    if (head.getCode() < HttpStatus.SC_OK) {
      informationalHeads++;
      if (informationalHeads > MAX_INFORMATIONAL_HEADS) {
        throw new ProtocolException(
            "more than " + MAX_INFORMATIONAL_HEADS + " informational responses to a request");
      }
      return true;
    }
    informationalHeads = 0;
    if (unsent.hasData() || announcesClose(head)) {
      // After an early response, or one that announces a close, the connection is not reused: the
      // rest of the request body must not be read as a new request.
      reusable = false;
    }
    final Optional<ContentDecoder> framing = BodyFraming.responseDecoder(head, channel(), received);
    keepAliveMs = parseKeepAliveMs(head);
    skippingResponse = !handler.onHead(head);
    if (!isOpen()) {
      return false;
    }
    if (framing.isEmpty()) {
      endResponse();
      return true;
    }
    decoder = framing.get();
    if (decoder instanceof IdentityDecoder) {
      reusable = false;
    }
    return true;
  }

  /**
   * Rejects a head that contains the status line of another one: the first response was cut off
   * inside a line, and its status would be taken for that of the second.
   */
  private static void checkSingleHead(HttpResponse head) throws ProtocolException {
    boolean merged = containsStatusLine(head.getReasonPhrase());
    for (Header header : head.getHeaders()) {
      merged |= containsStatusLine(header.getValue());
    }
    if (merged) {
      throw new ProtocolException("the head of a response contains another status line");
    }
  }

  private static boolean containsStatusLine(String text) {
    return text != null && STATUS_LINE.matcher(text).find();
  }

  private boolean parseBody() throws IOException {
    if (inputEnded() && unsent.hasData() && decoder instanceof IdentityDecoder) {
      // The remote side may have broken off: after its orderly end, a reset cannot be noticed.
      throw new IOException("the connection ended before the request was written");
    }
    ByteBuffer part = ByteBuffer.allocate(READ_BUFFER_BYTES);
    try {
      decoder.read(part);
    } finally {
      // A failing decoder may have read bytes before it failed; they belong to the response.
      if (part.flip().hasRemaining() && !skippingResponse) {
        handler.onBody(part.duplicate());
      }
    }
    if (!isOpen()) {
      return false;
    }
    if (skippingResponse) {
      skippedBytes += part.remaining();
      if (skippedBytes > ResponseBody.MAX_BYTES) {
        throw new IOException("the response of another request does not end");
      }
    }
    resumeReading();
    if (decoder.isCompleted()) {
      endResponse();
      return true;
    }
    return part.hasRemaining();
  }

  private void endResponse() {
    decoder = null;
    received.endHead();
    received.trim();
    if (skippingResponse) {
      skippingResponse = false;
      skippedBytes = 0;
      return;
    }
    ResponseHandler done = handler;
    handler = null;
    try {
      done.onEnd();
    } catch (RuntimeException e) {
      done.onFault(e);
      throw e;
    }
  }

  private static boolean announcesClose(HttpResponse head) {
    Header connection = head.getFirstHeader(HttpHeaders.CONNECTION);
    boolean closesByDefault =
        head.getVersion() != null && head.getVersion().lessEquals(HttpVersion.HTTP_1_0);
    return closesByDefault
        || (connection != null && connection.getValue().toLowerCase(Locale.ROOT).contains("close"));
  }

  private static Optional<Long> parseKeepAliveMs(HttpResponse head) {
    Header header = head.getFirstHeader(HttpHeaders.KEEP_ALIVE);
    if (header == null || header.getValue() == null) {
      return Optional.empty();
    }
    for (String field : header.getValue().split(",")) {
      String text = field.trim();
      if (text.matches("timeout=[0-9]{1,6}")) {
        return Optional.of(Long.parseLong(text.substring("timeout=".length())) * 1_000);
      }
    }
    return Optional.empty();
  }

  @Override
  protected void onDisconnect(Optional<Exception> cause) {
    reusable = false;
    if (handler == null) {
      onIdleClose.accept(this);
      return;
    }
    ResponseHandler broken = handler;
    handler = null;
    broken.onConnectionLost(opened, cause);
  }
}
