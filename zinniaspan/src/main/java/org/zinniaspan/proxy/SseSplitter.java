package org.zinniaspan.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Splits the bytes of a server-sent event stream into complete events. */
final class SseSplitter {

  private final ByteArrayOutputStream incompleteEvent = new ByteArrayOutputStream();
  private boolean lineIsEmpty = true;

  /**
   * A server-sent event.
   *
   * @param bytes the bytes of the event, with the empty line that ends it
   * @param id value of the event's {@code id} field, if it has one
   */
  record Event(byte[] bytes, Optional<String> id) {}

  /** Adds bytes, and returns the events that they complete. */
  List<Event> add(ByteBuffer part) {
    List<Event> events = new ArrayList<>();
    while (part.hasRemaining()) {
      byte next = part.get();
      incompleteEvent.write(next);
      if (next == '\n') {
        if (lineIsEmpty) {
          byte[] bytes = incompleteEvent.toByteArray();
          incompleteEvent.reset();
          events.add(new Event(bytes, eventId(bytes)));
        }
        lineIsEmpty = true;
      } else if (next != '\r') {
        lineIsEmpty = false;
      }
    }
    return events;
  }

  /** Returns the number of bytes received after the last complete event. */
  int incompleteBytes() {
    return incompleteEvent.size();
  }

  private static Optional<String> eventId(byte[] bytes) {
    for (String line : new String(bytes, StandardCharsets.ISO_8859_1).split("\r?\n")) {
      if (line.startsWith("id:")) {
        return Optional.of(line.substring("id:".length()).trim());
      }
    }
    return Optional.empty();
  }
}
