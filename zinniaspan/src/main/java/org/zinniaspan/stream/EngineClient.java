package org.zinniaspan.stream;

import org.zinniaspan.inventory.Endpoint;

/** Client for the engines' chat protocol. */
public interface EngineClient {

  /**
   * Sends a request to an engine.
   *
   * <p>It may return before the engine accepts; a rejection can then be the first event of the
   * stream. Each {@link StreamEvent.Token} is one token of the engine.
   *
   * @param endpoint the engine
   * @param call the request
   * @param attemptId id of the attempt, for the engine's log
   * @param resumeFromTokens number of tokens that the caller already has, which the engine skips
   */
  OpenResult open(Endpoint endpoint, ChatCall call, String attemptId, int resumeFromTokens);

  /** Returns whether the engine can resume after a number of tokens; if not, it starts over. */
  default boolean resumes(Endpoint endpoint) {
    return true;
  }
}
