package org.zinniaspan.proxy;

import java.util.ArrayList;
import java.util.List;
import org.zinniaspan.log.EventLog;

/**
 * Buffers the log lines of one request, and writes them at its end if it failed or is sampled.
 *
 * <p>A request that failed, was late or had to be retried is logged completely, each line with the
 * time of its event. Of the others, one in {@value #SAMPLING_INTERVAL} is logged, as logging all
 * takes too much of the process's time. The sample depends only on the request's id, so that all
 * VMs select the same requests.
 */
final class RequestLog {

  /** Of this many requests without a failure or delay, one is logged. */
  static final int SAMPLING_INTERVAL = 16;

  private final List<EventLog> lines = new ArrayList<>(3);
  private boolean sawFailure;

  /** Adds a line about a normal event. */
  void add(EventLog line) {
    lines.add(line);
  }

  /** Adds a line about a failure, so that all lines of the request are written. */
  void addFailure(EventLog line) {
    sawFailure = true;
    lines.add(line.asFailure());
  }

  /**
   * Writes the lines if the request failed, was late or is sampled, and clears the buffer.
   *
   * @param id id of the client attempt
   * @param servedInTime whether the request succeeded within its latency targets
   */
  void complete(String id, boolean servedInTime) {
    if (sawFailure || !servedInTime || Math.floorMod(id.hashCode(), SAMPLING_INTERVAL) == 0) {
      lines.forEach(EventLog::write);
    }
    lines.clear();
  }
}
