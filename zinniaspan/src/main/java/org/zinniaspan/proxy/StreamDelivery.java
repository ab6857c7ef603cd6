package org.zinniaspan.proxy;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.apache.hc.core5.http.HttpResponse;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.transport.InboundConnection;

/**
 * The part of a stream that a client has received, possibly from several endpoints in turn.
 *
 * <p>The response keeps the head of the first endpoint; events that a later one repeats are
 * recognized by their ids.
 */
final class StreamDelivery {

  private final InboundConnection client;
  private final Dialect dialect;
  private final Clock clock;
  private Optional<String> endpoint = Optional.empty();
  private Optional<String> softwareVersion = Optional.empty();
  private Optional<String> lastEventId = Optional.empty();
  private boolean started;
  private long startedAtMs;
  private long lastEventMs;
  private long longestPauseMs;

  StreamDelivery(InboundConnection client, Dialect dialect, Clock clock) {
    this.client = client;
    this.dialect = dialect;
    this.clock = clock;
  }

  /** Returns whether the head of the response was sent. */
  boolean isStarted() {
    return started;
  }

  /** Returns when the head of the response was sent, in milliseconds; 0 before. */
  long startedAtMs() {
    return startedAtMs;
  }

  /** Returns the longest pause between two events so far, in milliseconds. */
  long longestPauseMs() {
    return longestPauseMs;
  }

  /** Returns the id of the last event, if it had one. */
  Optional<String> lastEventId() {
    return lastEventId;
  }

  /** Sets the endpoint that the head states to a VM that relays the request, and its version. */
  void stateEndpoint(String endpointId, String version) {
    endpoint = Optional.of(endpointId);
    softwareVersion = Optional.of(version);
  }

  /** Sends the head of the response, unless it was sent before. */
  void start(HttpResponse endpointHead) {
    if (!started) {
      HttpResponse response = dialect.clientResponse(endpointHead);
      endpoint.ifPresent(id -> RelayHeaders.set(response, RelayHeaders.ENDPOINT, id));
      softwareVersion.ifPresent(v -> RelayHeaders.set(response, RelayHeaders.SOFTWARE_VERSION, v));
      started = true;
      startedAtMs = clock.nowMs();
      client.startChunked(response);
    }
  }

  /** Buffers an event for the client; the head is sent before the first one. */
  void add(HttpResponse endpointHead, SseSplitter.Event event) {
    start(endpointHead);
    long now = clock.nowMs();
    longestPauseMs = lastEventMs == 0 ? 0 : Math.max(longestPauseMs, now - lastEventMs);
    lastEventMs = now;
    event.id().ifPresent(id -> lastEventId = Optional.of(id));
    client.writeBody(ByteBuffer.wrap(event.bytes()));
  }

  /** Ends the response. */
  void end() {
    client.finishResponse();
  }

  /**
   * Returns whether an event was sent to the client before, by comparing numeric event ids; an
   * endpoint may repeat events when a stream resumes.
   */
  boolean wasDelivered(SseSplitter.Event event) {
    if (lastEventId.isEmpty() || event.id().isEmpty()) {
      return false;
    }
    Optional<Long> last = parseEventId(lastEventId.get());
    Optional<Long> next = parseEventId(event.id().get());
    return last.isPresent() && next.isPresent() && next.get() <= last.get();
  }

  private static Optional<Long> parseEventId(String text) {
    return text.matches("[0-9]{1,18}") ? Optional.of(Long.parseLong(text)) : Optional.empty();
  }
}
