package org.zinniaspan.proxy;

/** One send of a request, to an endpoint or through another VM. */
interface Attempt {

  /** Returns whether bytes of the request may have reached an endpoint, so that it may have run. */
  boolean mayHaveRun();

  /** Returns the software version of the endpoint that creates the response; empty if unknown. */
  String softwareVersion();

  /** Cancels the request by resetting its connection. */
  void cancel();
}
