package org.zinniaspan.log;

import java.util.Optional;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Logs structured events, each as one line of JSON.
 *
 * <p>Example: {@code EventLog.event("route").with("endpoint", "engine-1").info();}. Logging is
 * asynchronous: lines are queued in a bounded buffer, which drops routine lines before failures
 * when it is full.
 */
public final class EventLog {

  private static final LogWriter WRITER = new LogWriter();
  private static final int RECENT_EVENTS_CAPACITY = 1_000;
  private static volatile Optional<RecentEvents> recentEvents = Optional.empty();

  private final StringMapMessage message = new StringMapMessage();
  private final long timeMs = System.currentTimeMillis();
  private Level level = Level.INFO;

  private EventLog(String event) {
    message.with("event", event);
  }

  /** Creates an event with the given name and the current time. */
  public static EventLog event(String event) {
    return new EventLog(event);
  }

  /** Returns the buffer of recent events, which records events from the first call on. */
  public static synchronized RecentEvents enableRecentEvents() {
    RecentEvents events = recentEvents.orElseGet(() -> new RecentEvents(RECENT_EVENTS_CAPACITY));
    recentEvents = Optional.of(events);
    return events;
  }

  /** Returns the number of lines dropped since the process started. */
  public static long droppedLines() {
    return WRITER.droppedLines();
  }

  /** Waits until all queued lines are written; returns false after the timeout in milliseconds. */
  public static boolean flush(long timeoutMs) {
    return WRITER.flush(timeoutMs);
  }

  /** Adds a field; the value is converted to a string. */
  public EventLog with(String field, Object value) {
    message.with(field, String.valueOf(value));
    return this;
  }

  /** Marks the event as a failure: level WARN, and dropped only after all routine lines. */
  public EventLog asFailure() {
    level = Level.WARN;
    return this;
  }

  /** Logs the event, at level INFO unless it is marked as a failure. */
  public void info() {
    write();
  }

  /** Logs the event as a failure, at level WARN. */
  public void warn() {
    asFailure().write();
  }

  /** Logs the event with the time at which {@link #event} created it. */
  public void write() {
    recentEvents.ifPresent(events -> events.add(message.getData()));
    WRITER.write(level, message, timeMs);
  }
}
