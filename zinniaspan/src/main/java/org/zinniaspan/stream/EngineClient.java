package org.zinniaspan.stream;

import org.zinniaspan.inventory.Endpoint;

/** Speaks the chat protocol of engines. */
public interface EngineClient {

  /**
   * Sends a request to an engine.
   *
   * <p>It need not wait until the engine accepts: a refusal may also come as the stream's first
   * event. One {@link StreamEvent.Token} stands for one token of the engine.
   *
   * @param endpoint the engine
   * @param call the request
   * @param attemptId id that the engine logs
   * @param resumeFromTokens tokens that the caller has already, which the engine skips
   */
  OpenResult open(Endpoint endpoint, ChatCall call, String attemptId, int resumeFromTokens);

  /** Returns whether the engine can skip tokens; if not, it is asked for the whole answer. */
  default boolean resumes(Endpoint endpoint) {
    return true;
  }
}
