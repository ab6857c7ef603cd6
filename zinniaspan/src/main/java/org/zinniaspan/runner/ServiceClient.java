package org.zinniaspan.runner;

import org.zinniaspan.inventory.Endpoint;

/** Speaks HTTP to plain services. */
public interface ServiceClient {

  /** Sends a call once and waits for its whole answer; blocks until the call's timeout. */
  SendResult send(Endpoint endpoint, ServiceCall call, String attemptId);
}
