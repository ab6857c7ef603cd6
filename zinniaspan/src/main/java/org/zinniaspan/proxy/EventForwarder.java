package org.zinniaspan.proxy;

import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.HttpResponse;

/**
 * Passes the complete events of one response on to the client, except those that the client
 * received before.
 */
final class EventForwarder {

  /** Largest event that is passed on, in bytes. */
  private static final int MAX_EVENT_BYTES = 1024 * 1024;

  private final ProxiedRequest request;
  private final SseSplitter splitter = new SseSplitter();

  EventForwarder(ProxiedRequest request) {
    this.request = request;
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
    return !events.isEmpty();
  }

  /** Returns whether the bytes after the last complete event are more than any event has. */
  boolean isTooLong() {
    return splitter.incompleteBytes() > MAX_EVENT_BYTES;
  }

  /** Returns whether bytes follow the last complete event. */
  boolean hasIncompleteEvent() {
    return splitter.incompleteBytes() > 0;
  }
}
