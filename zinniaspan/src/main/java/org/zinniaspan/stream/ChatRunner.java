package org.zinniaspan.stream;

import java.util.function.BooleanSupplier;

/** Runs chat requests: acquires slots, opens engine streams and resumes broken ones. */
public interface ChatRunner {

  /**
   * Runs a request until its first event or until it fails.
   *
   * @param call the request
   * @param callerLeft tells whether the caller has closed its connection; a call may take a
   *     millisecond
   */
  ChatStart start(ChatCall call, BooleanSupplier callerLeft);
}
