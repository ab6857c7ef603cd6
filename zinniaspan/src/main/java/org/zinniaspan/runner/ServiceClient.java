package org.zinniaspan.runner;

import org.zinniaspan.inventory.Endpoint;

/** Blocking HTTP client for plain services. */
public interface ServiceClient {

  /** Sends a call once and blocks until the response is complete or the call times out. */
  SendResult send(Endpoint endpoint, ServiceCall call, String attemptId);
}
