package org.zinniaspan.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.Message;

/**
 * One line of the log.
 *
 * @param thread name of the thread that logged it
 * @param timeMs time of day in milliseconds since the epoch
 */
record LogLine(Level level, Message message, String thread, long timeMs) {

  /** Returns a line of the running thread. */
  static LogLine of(Level level, Message message, long timeMs) {
    return new LogLine(level, message, Thread.currentThread().getName(), timeMs);
  }
}
