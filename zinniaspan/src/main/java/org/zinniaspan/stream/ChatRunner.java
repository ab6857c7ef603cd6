package org.zinniaspan.stream;

import java.util.function.BooleanSupplier;

/** Runs chat requests: gets slots, opens engines, resumes what broke. */
public interface ChatRunner {

  /**
   * Runs a request up to its first event.
   *
   * @param call the request
   * @param callerLeft whether the caller has closed its connection; may take a millisecond
   */
  ChatStart start(ChatCall call, BooleanSupplier callerLeft);
}
