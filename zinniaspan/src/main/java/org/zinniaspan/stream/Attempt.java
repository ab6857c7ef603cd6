package org.zinniaspan.stream;

import org.zinniaspan.clock.Clock;
import org.zinniaspan.dispatch.SlotResult;
import org.zinniaspan.dispatch.SlotUse;

/**
 * One attempt of a chat request: the stream of one engine and the slot that it holds.
 *
 * <p>If the engine starts again from the first token, the text that the caller already has is
 * compared and skipped. Used by one thread.
 */
final class Attempt {

  private static final int MAX_UNREAD_TOKENS_COUNTED = 64;

  private final SlotLease lease;
  private final String endpoint;
  private final EngineStream stream;
  private final DeliveredText delivered;
  private final StallDetector stall;
  private final Clock clock;
  private final long sentMs;
  private int skipTo;
  private int skipped;
  private int tokens;
  private int wasted;
  private long firstTokenMs;

  Attempt(
      SlotLease lease,
      String endpoint,
      EngineStream stream,
      DeliveredText delivered,
      StallDetector stall,
      Clock clock) {
    this.lease = lease;
    this.endpoint = endpoint;
    this.stream = stream;
    this.delivered = delivered;
    this.stall = stall;
    this.clock = clock;
    this.sentMs = clock.nowMs();
  }

  /** Records that the engine starts from the first token, so that delivered text is skipped. */
  void skipDelivered() {
    skipTo = delivered.length();
  }

  /** Waits for the next event; returns {@code Waiting} for a token that the caller already has. */
  StreamEvent next(long timeoutMs) {
    StreamEvent event = stream.next(timeoutMs);
    if (event instanceof StreamEvent.Token token) {
      onToken(clock.nowMs());
      return skipped < skipTo ? skip(token.text()) : event;
    }
    if (event instanceof StreamEvent.Finished && skipped < skipTo) {
      return new StreamEvent.Broken(endpoint + ": answer is shorter than before");
    }
    return event;
  }

  private void onToken(long nowMs) {
    if (tokens == 0) {
      firstTokenMs = nowMs - sentMs;
    }
    tokens++;
    stall.onToken(nowMs);
  }

  private StreamEvent skip(String text) {
    int overlap = Math.min(text.length(), skipTo - skipped);
    if (!delivered.matchesAt(skipped, text.substring(0, overlap))) {
      return new StreamEvent.Broken(endpoint + ": answer differs from before");
    }
    skipped += overlap;
    if (overlap < text.length()) {
      return new StreamEvent.Token(text.substring(overlap));
    }
    wasted++;
    return new StreamEvent.Waiting();
  }

  /** Closes the engine's stream and releases the slot with the given result. */
  void stop(SlotResult result) {
    if (result == SlotResult.CANCELLED) {
      countUnreadTokens();
    }
    stream.close();
    lease.release(new SlotUse(result, tokens, firstTokenMs, clock.nowMs() - sentMs));
  }

  private void countUnreadTokens() {
    for (int i = 0; i < MAX_UNREAD_TOKENS_COUNTED; i++) {
      if (!(stream.next(0) instanceof StreamEvent.Token)) {
        return;
      }
      wasted++;
    }
  }

  boolean isPreempted() {
    return lease.isPreempted();
  }

  boolean isStalled() {
    return clock.nowMs() >= stall.stalledAtMs();
  }

  int wastedTokens() {
    return wasted;
  }

  String endpoint() {
    return endpoint;
  }
}
