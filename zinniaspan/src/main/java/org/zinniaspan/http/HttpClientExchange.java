package org.zinniaspan.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * One request on a connection of its own.
 *
 * <p>A connection is never reused, so that a failure to connect proves that no byte was sent.
 */
public final class HttpClientExchange implements AutoCloseable {

  /** Sends the body with the head: no wait for "100 Continue", which costs a round trip. */
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
   * Connects.
   *
   * @param address where to
   * @param connectTimeoutMs longest time to connect, in milliseconds
   * @param readTimeoutMs longest time between two bytes of the answer, in milliseconds
   * @throws IOException if the connection cannot be made; no byte was sent
   */
  public static HttpClientExchange connect(
      InetSocketAddress address, int connectTimeoutMs, int readTimeoutMs) throws IOException {
    Socket socket = new Socket();
    try {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(readTimeoutMs);
      socket.connect(address, connectTimeoutMs);
      Http1Config config = Http1Config.custom().setBufferSize(BUFFER_BYTES).build();
      DefaultBHttpClientConnection connection = new DefaultBHttpClientConnection(config);
      connection.bind(socket);
      return new HttpClientExchange(connection);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /**
   * Sends the request and returns the head of the answer.
   *
   * @throws IOException if the connection broke; bytes may have been sent
   * @throws HttpException if the answer is not HTTP; bytes have been sent
   */
  public ClassicHttpResponse execute(ClassicHttpRequest request) throws IOException, HttpException {
    HttpCoreContext context = HttpCoreContext.create();
    EXECUTOR.preProcess(request, PROCESSOR, context);
    ClassicHttpResponse response = EXECUTOR.execute(request, connection, context);
    EXECUTOR.postProcess(response, PROCESSOR, context);
    return response;
  }

  /**
   * Sends the request and does not wait for an answer.
   *
   * @throws IOException if the connection broke; bytes may have been sent
   * @throws HttpException if the request cannot be written
   */
  public void send(ClassicHttpRequest request) throws IOException, HttpException {
    EXECUTOR.preProcess(request, PROCESSOR, HttpCoreContext.create());
    connection.sendRequestHeader(request);
    connection.sendRequestEntity(request);
    connection.flush();
  }

  /**
   * Reads the head of the answer to a request that was sent; can be called again after a timeout.
   *
   * @throws java.net.SocketTimeoutException if it has not come within the read timeout
   * @throws IOException if the connection broke
   * @throws HttpException if the answer is not HTTP
   */
  public ClassicHttpResponse receive() throws IOException, HttpException {
    ClassicHttpResponse response = connection.receiveResponseHeader();
    while (response.getCode() < FIRST_FINAL_STATUS) {
      response = connection.receiveResponseHeader();
    }
    connection.receiveResponseEntity(response);
    return response;
  }

  /** Sets the longest time between two bytes of the answer, in milliseconds; at least 1. */
  public void setReadTimeout(long timeoutMs) {
    connection.setSocketTimeout(Timeout.ofMilliseconds(Math.max(1, timeoutMs)));
  }

  /** Closes the connection at once; may be called from any thread. */
  @Override
  public void close() {
    connection.close(CloseMode.IMMEDIATE);
  }
}
