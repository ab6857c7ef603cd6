package org.zinniaspan.proxy;

import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.HttpResponse;

/**
 * Passes the complete events of one response on to the client, except those that the client
 * received before.
 */
final class EventForwarder {

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

  /** Returns whether bytes follow the last complete event. */
  boolean hasIncompleteEvent() {
    return splitter.incompleteBytes() > 0;
  }
}
