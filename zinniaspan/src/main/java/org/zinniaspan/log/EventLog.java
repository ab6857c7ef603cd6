package org.zinniaspan.log;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Writes one JSON line for each event.
 *
 * <p>Example: {@code EventLog.event("route").with("endpoint", "engine-1").info();}
 */
public final class EventLog {

  private static final Logger LOGGER = LogManager.getLogger("zinniaspan");

  private static final int RECENT_LINES = 1_000;
  private static final RecentEvents RECENT = new RecentEvents(RECENT_LINES);

  private final StringMapMessage message = new StringMapMessage();

  private EventLog(String event) {
    message.with("event", event);
  }

  /** Starts a line for an event of the given name. */
  public static EventLog event(String event) {
    return new EventLog(event);
  }

  /** Returns the newest lines of this process. */
  public static RecentEvents recent() {
    return RECENT;
  }

  /** Adds a field. */
  public EventLog with(String field, Object value) {
    message.with(field, String.valueOf(value));
    return this;
  }

  /** Writes the line at level INFO. */
  public void info() {
    RECENT.add(message.getData());
    LOGGER.info(message);
  }

  /** Writes the line at level WARN. */
  public void warn() {
    RECENT.add(message.getData());
    LOGGER.warn(message);
  }
}
