package org.zinniaspan.stream;

import org.zinniaspan.inventory.Endpoint;

/** Speaks the chat protocol of engines. */
public interface EngineClient {

  /**
   * Sends a request to an engine and waits until it accepts.
   *
   * @param endpoint the engine
   * @param call the request
   * @param attemptId id that the engine logs
   * @param resumeFromTokens tokens that the caller has already, which the engine skips
   */
  OpenResult open(Endpoint endpoint, ChatCall call, String attemptId, int resumeFromTokens);
}
