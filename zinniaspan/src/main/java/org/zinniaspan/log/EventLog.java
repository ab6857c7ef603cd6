package org.zinniaspan.log;

import java.util.Optional;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Writes one JSON line for each event.
 *
 * <p>Example: {@code EventLog.event("route").with("endpoint", "engine-1").info();}. No call waits
 * for the line to be written: lines that wait are bounded, and routine lines are dropped before
 * failures.
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

  /** Starts a line for an event of the given name. */
  public static EventLog event(String event) {
    return new EventLog(event);
  }

  /** Returns the newest lines of this process, which are kept from the first call on. */
  public static synchronized RecentEvents enableRecentEvents() {
    RecentEvents events = recentEvents.orElseGet(() -> new RecentEvents(RECENT_EVENTS_CAPACITY));
    recentEvents = Optional.of(events);
    return events;
  }

  /** Returns the number of lines that were dropped since the start. */
  public static long droppedLines() {
    return WRITER.droppedLines();
  }

  /** Waits until all lines are written; returns false if they are not in time. */
  public static boolean flush(long timeoutMs) {
    return WRITER.flush(timeoutMs);
  }

  /** Adds a field. */
  public EventLog with(String field, Object value) {
    message.with(field, String.valueOf(value));
    return this;
  }

  /** Marks the line as one about a failure, which is dropped last. */
  public EventLog asFailure() {
    level = Level.WARN;
    return this;
  }

  /** Writes a routine line, at level INFO. */
  public void info() {
    write();
  }

  /** Writes a line about a failure, at level WARN. */
  public void warn() {
    asFailure().write();
  }

  /** Writes the line with the time at which it was started. */
  public void write() {
    recentEvents.ifPresent(events -> events.add(message.getData()));
    WRITER.write(level, message, timeMs);
  }
}
