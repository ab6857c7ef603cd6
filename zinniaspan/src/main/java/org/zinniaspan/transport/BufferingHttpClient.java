package org.zinniaspan.transport;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;

/**
 * An HTTP client for one address that buffers whole responses and reuses idle connections.
 *
 * <p>Meant for short responses; a body above {@value ResponseBody#MAX_BYTES} bytes is an error.
 */
public final class BufferingHttpClient implements Ticking {

  private final Reactor reactor;
  private final Clock clock;
  private final InetSocketAddress address;
  private final BufferBudget budget;
  private final Deque<OutboundConnection> idle = new ArrayDeque<>();
  private final Set<Call> calls = new HashSet<>();

  /** Creates a client whose responses are limited one by one only. */
  public BufferingHttpClient(Reactor reactor, Clock clock, InetSocketAddress address) {
    this(reactor, clock, address, new BufferBudget(Long.MAX_VALUE));
  }

  /**
   * Creates a client; it opens connections as calls need them.
   *
   * @param budget limits the sum of the responses, also with those of other clients
   */
  public BufferingHttpClient(
      Reactor reactor, Clock clock, InetSocketAddress address, BufferBudget budget) {
    this.reactor = reactor;
    this.clock = clock;
    this.address = address;
    this.budget = budget;
  }

  /** The result of a call. */
  public sealed interface Result {

    /**
     * A complete response was received.
     *
     * @param head head of the response
     * @param body the complete response body
     */
    record Answered(HttpResponse head, byte[] body) implements Result {

      /** Returns the HTTP status code. */
      public int status() {
        return head.getCode();
      }

      /** Returns the value of a header, if the response has it. */
      public Optional<String> header(String name) {
        return Optional.ofNullable(head.getFirstHeader(name)).map(field -> field.getValue());
      }
    }

    /**
     * No complete response was received.
     *
     * @param reason description of the error, for logs
     */
    record Failed(String reason) implements Result {}
  }

  /**
   * Sends a request.
   *
   * @param timeoutMs longest time until the response is complete, in milliseconds
   * @param callback receives the result, exactly once
   */
  public void call(HttpRequest request, long timeoutMs, Consumer<Result> callback) {
    call(request, new byte[0], timeoutMs, callback);
  }

  /**
   * Sends a request with a body, whose length the head must state.
   *
   * @param timeoutMs longest time until the response is complete, in milliseconds
   * @param callback receives the result, exactly once
   */
  public void call(HttpRequest request, byte[] body, long timeoutMs, Consumer<Result> callback) {
    OutboundConnection connection = idle.poll();
    while (connection != null && !connection.isReusable()) {
      connection = idle.poll();
    }
    if (connection == null) {
      connection = OutboundConnection.open(reactor, address, timeoutMs, budget, idle::remove);
    }
    Call call = new Call(connection, clock.nowMs() + timeoutMs, callback);
    calls.add(call);
    connection.send(request, body, call);
  }

  @Override
  public void tick() {
    long now = clock.nowMs();
    List<Call> expired = new ArrayList<>();
    for (Call call : calls) {
      if (call.deadlineMs <= now) {
        expired.add(call);
      }
    }
    expired.forEach(Call::onTimeout);
  }

  private final class Call implements ResponseHandler {

    private final OutboundConnection connection;
    private final long deadlineMs;
    private final Consumer<Result> callback;
    private final ResponseBody body = new ResponseBody(budget);
    private HttpResponse responseHead;

    Call(OutboundConnection connection, long deadlineMs, Consumer<Result> callback) {
      this.connection = connection;
      this.deadlineMs = deadlineMs;
      this.callback = callback;
    }

    @Override
    public boolean onHead(HttpResponse head) {
      responseHead = head;
      return true;
    }

    @Override
    public void onBody(ByteBuffer part) {
      if (!body.add(part)) {
        connection.reset();
        finish(new Result.Failed("the response is too long"));
      }
    }

    @Override
    public void onEnd() {
      if (connection.isReusable()) {
        idle.push(connection);
      } else {
        connection.close();
      }
      finish(new Result.Answered(responseHead, body.take()));
    }

    @Override
    public void onConnectionLost(boolean opened, Optional<Exception> cause) {
      finish(
          new Result.Failed(
              cause
                  .map(Exception::toString)
                  .orElse("connection closed before the response was complete")));
    }

    @Override
    public void onFault(RuntimeException cause) {
      finish(new Result.Failed(cause.toString()));
    }

    void onTimeout() {
      connection.reset();
      finish(new Result.Failed("no complete response before the timeout"));
    }

    private void finish(Result result) {
      body.release();
      if (calls.remove(this)) {
        callback.accept(result);
      }
    }
  }
}
