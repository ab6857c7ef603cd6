package org.zinniaspan.proxy;

import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.HttpResponse;
import org.zinniaspan.transport.BufferBudget;

/**
 * Passes the complete events of one response on to the client, except those that the client
 * received before.
 */
final class EventForwarder {

  /** Largest event that is passed on, in bytes. */
  private static final int MAX_EVENT_BYTES = 1024 * 1024;

  private final ProxiedRequest request;
  private final SseSplitter splitter = new SseSplitter();
  private final BufferBudget.Share share;
  private boolean withinBudget = true;

  EventForwarder(ProxiedRequest request) {
    this.request = request;
    this.share = request.context().bodies().responses().share();
  }

  /** Adds bytes of the response's body; returns whether they complete an event. */
  boolean add(HttpResponse head, ByteBuffer part) {
    List<SseSplitter.Event> events = splitter.add(part);
    boolean passedOn = false;
    for (SseSplitter.Event event : events) {
      if (!request.wasDelivered(event)) {
        request.onEvent(head, event);
        passedOn = true;
      }
    }
    if (passedOn) {
      request.flush();
    }
    withinBudget = share.resize(splitter.incompleteBytes());
    return !events.isEmpty();
  }

  /**
   * Returns whether the bytes after the last complete event are more than any event has, or than
   * all responses may have together.
   */
  boolean isTooLong() {
    return !withinBudget || splitter.incompleteBytes() > MAX_EVENT_BYTES;
  }

  /** Gives the bytes of an incomplete event back to the budget. */
  void release() {
    share.release();
  }

  /** Returns whether bytes follow the last complete event. */
  boolean hasIncompleteEvent() {
    return splitter.incompleteBytes() > 0;
  }
}
