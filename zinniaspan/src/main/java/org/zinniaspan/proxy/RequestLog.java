package org.zinniaspan.proxy;

import java.util.ArrayList;
import java.util.List;
import org.zinniaspan.log.EventLog;

/**
 * The log lines of one request, which are written at its end if they are worth it.
 *
 * <p>All lines of a request that failed, was late or met a failure on the way are written, with the
 * times at which they arose. Of the others, one in {@value #SAMPLING_INTERVAL} is, as writing all
 * takes too much of the process's time; the choice follows from the request's id, so that it is the
 * same on all VMs.
 */
final class RequestLog {

  /** Requests that went well for each one of them that is logged. */
  static final int SAMPLING_INTERVAL = 16;

  private final List<EventLog> lines = new ArrayList<>(3);
  private boolean sawFailure;

  /** Adds a routine line. */
  void add(EventLog line) {
    lines.add(line);
  }

  /** Adds a line about a failure. */
  void addFailure(EventLog line) {
    sawFailure = true;
    lines.add(line.asFailure());
  }

  /**
   * Writes the lines if they are worth it.
   *
   * @param id id of the client attempt
   * @param servedInTime whether the request was served in time
   */
  void complete(String id, boolean servedInTime) {
    if (sawFailure || !servedInTime || Math.floorMod(id.hashCode(), SAMPLING_INTERVAL) == 0) {
      lines.forEach(EventLog::write);
    }
    lines.clear();
  }
}
