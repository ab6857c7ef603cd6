package org.zinniaspan.gateway;

import java.util.function.BooleanSupplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.gateway.TrafficObserver.Delivery;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.request.Outcome;
import org.zinniaspan.stream.ChatCall;
import org.zinniaspan.stream.ChatSession;
import org.zinniaspan.stream.StreamEvent;

/**
 * Reads the events of one chat response, measures their timing and reports the result.
 *
 * <p>The result goes to the {@link TrafficObserver} and the event log. Not thread-safe.
 */
final class ChatResponseReader implements AutoCloseable {

  private static final long CONNECTION_CHECK_PERIOD_MS = 250;

  private final ChatCall call;
  private final ChatSession session;
  private final TrafficObserver observer;
  private final BooleanSupplier callerLeft;
  private final Clock clock;
  private long firstTokenMs;
  private long lastTokenMs;
  private long maxTokenGapMs;
  private long nextConnectionCheckMs;
  private int tokens;
  private boolean ended;

  ChatResponseReader(
      ChatCall call,
      ChatSession session,
      TrafficObserver observer,
      BooleanSupplier callerLeft,
      Clock clock) {
    this.call = call;
    this.session = session;
    this.observer = observer;
    this.callerLeft = callerLeft;
    this.clock = clock;
    this.nextConnectionCheckMs = clock.nowMs() + CONNECTION_CHECK_PERIOD_MS;
  }

  ChatCall call() {
    return call;
  }

  int tokens() {
    return tokens;
  }

  StreamEvent next() {
    StreamEvent event = session.next();
    if (event instanceof StreamEvent.Token) {
      onToken(clock.nowMs());
    }
    return event;
  }

  private void onToken(long now) {
    if (tokens == 0) {
      firstTokenMs = now - call.arrivedMs();
    } else {
      maxTokenGapMs = Math.max(maxTokenGapMs, now - lastTokenMs);
    }
    lastTokenMs = now;
    tokens++;
  }

  /**
   * Returns whether the caller has disconnected.
   *
   * <p>Checks the connection at most once in {@value #CONNECTION_CHECK_PERIOD_MS} ms, since a check
   * may take a millisecond; between two checks it returns false.
   */
  boolean callerLeft() {
    long now = clock.nowMs();
    if (now < nextConnectionCheckMs) {
      return false;
    }
    nextConnectionCheckMs = now + CONNECTION_CHECK_PERIOD_MS;
    return callerLeft.getAsBoolean();
  }

  /** Records that the complete response was written to the caller. */
  void recordDelivery() {
    ended = true;
    long totalMs = clock.nowMs() - call.arrivedMs();
    Delivery delivery = new Delivery(firstTokenMs, maxTokenGapMs, totalMs, tokens);
    observer.onDelivered(call.serviceClass(), delivery);
    logEvent("answered").with("attained", delivery.meetsTargets(call.serviceClass())).info();
  }

  /** Records that the response is incomplete; its tokens count as wasted. */
  void recordFailure(String reason) {
    ended = true;
    observer.onEnded(call.serviceClass(), new Outcome.Unknown(reason));
    observer.onTokensWasted(call.serviceClass(), tokens);
    logEvent("unknown").with("reason", reason).info();
  }

  private EventLog logEvent(String outcome) {
    return EventLog.event("request")
        .with("requestId", call.requestId())
        .with("organisation", call.organisation())
        .with("class", call.serviceClass().name())
        .with("endpoint", session.endpoint())
        .with("outcome", outcome)
        .with("tokens", tokens)
        .with("firstTokenMs", firstTokenMs);
  }

  @Override
  public void close() {
    if (!ended) {
      recordFailure("caller left");
    }
    session.close();
    if (session.wastedTokens() > 0) {
      observer.onTokensWasted(call.serviceClass(), session.wastedTokens());
    }
  }
}
