package org.zinniaspan.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.DefaultClassicHttpResponseFactory;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * Sends one HTTP/1.1 request over a new connection and reads its response.
 *
 * <p>A connection is never reused, so that a failure to connect proves that no byte was sent.
 */
public final class HttpClientExchange implements AutoCloseable {

  /**
   * Omits {@code Expect: 100-continue}, because waiting for the 100 response costs a round trip.
   */
  private static final HttpProcessor PROCESSOR =
      HttpProcessorBuilder.create()
          .addAll(RequestTargetHost.INSTANCE, RequestContent.INSTANCE, RequestConnControl.INSTANCE)
          .build();

  private static final HttpRequestExecutor EXECUTOR = new HttpRequestExecutor();
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int BUFFER_BYTES = 4 * 1024;

  private final DefaultBHttpClientConnection connection;

  private HttpClientExchange(DefaultBHttpClientConnection connection) {
    this.connection = connection;
  }

  /**
   * Opens a connection.
   *
   * @param address address to connect to
   * @param connectTimeoutMs connect timeout, in milliseconds
   * @param readTimeoutMs longest wait for further bytes of the response, in milliseconds
   * @throws IOException if the connection cannot be opened; no byte was sent
   */
  public static HttpClientExchange connect(
      InetSocketAddress address, int connectTimeoutMs, int readTimeoutMs) throws IOException {
    Socket socket = new Socket();
    try {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(readTimeoutMs);
      socket.connect(address, connectTimeoutMs);
      Http1Config config = Http1Config.custom().setBufferSize(BUFFER_BYTES).build();
      DefaultBHttpClientConnection connection = new Connection(config);
      connection.bind(socket);
      return new HttpClientExchange(connection);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /**
   * Sends the request and waits for the response head.
   *
   * @throws IOException if the connection fails or times out; bytes may have been sent
   * @throws HttpException if the response is not valid HTTP; bytes have been sent
   */
  public ClassicHttpResponse execute(ClassicHttpRequest request) throws IOException, HttpException {
    HttpCoreContext context = HttpCoreContext.create();
    EXECUTOR.preProcess(request, PROCESSOR, context);
    ClassicHttpResponse response = EXECUTOR.execute(request, connection, context);
    EXECUTOR.postProcess(response, PROCESSOR, context);
    return response;
  }

  /**
   * Sends the request without waiting for a response.
   *
   * @throws IOException if the connection fails; bytes may have been sent
   * @throws HttpException if the request cannot be written
   */
  public void send(ClassicHttpRequest request) throws IOException, HttpException {
    EXECUTOR.preProcess(request, PROCESSOR, HttpCoreContext.create());
    connection.sendRequestHeader(request);
    connection.sendRequestEntity(request);
    connection.flush();
  }

  /**
   * Reads the final response head after {@link #send}, skipping informational (1xx) responses; may
   * be called again after a timeout.
   *
   * @throws java.net.SocketTimeoutException if no byte arrives within the read timeout
   * @throws IOException if the connection fails
   * @throws HttpException if the response is not valid HTTP
   */
  public ClassicHttpResponse receive() throws IOException, HttpException {
    ClassicHttpResponse response = connection.receiveResponseHeader();
    while (response.getCode() < FIRST_FINAL_STATUS) {
      response = connection.receiveResponseHeader();
    }
    connection.receiveResponseEntity(response);
    return response;
  }

  /** Sets the read timeout in milliseconds; a value below 1 counts as 1. */
  public void setReadTimeout(long timeoutMs) {
    connection.setSocketTimeout(Timeout.ofMilliseconds(Math.max(1, timeoutMs)));
  }

  /** Closes the connection immediately; may be called from any thread. */
  @Override
  public void close() {
    connection.close(CloseMode.IMMEDIATE);
  }

  /** A connection whose responses are complete only with their stated end. */
  private static final class Connection extends DefaultBHttpClientConnection {

    Connection(Http1Config config) {
      super(
          config,
          null,
          null,
          null,
          null,
          null,
          UnendingInput.parsers(
              new DefaultHttpResponseParserFactory(
                  StrictLineParser.INSTANCE, DefaultClassicHttpResponseFactory.INSTANCE)));
    }

    @Override
    protected InputStream createContentInputStream(
        long length, SessionInputBuffer buffer, InputStream input) {
      return super.createContentInputStream(length, buffer, UnendingInput.forBody(length, input));
    }
  }
}
