package org.zinniaspan.forwarding;

import java.util.List;

/**
 * A request that an endpoint had not answered yet when it crashed.
 *
 * @param endpointId id of the endpoint
 * @param attemptId id of the client attempt
 * @param parts ids of the prompt's parts, in order, and the request's fingerprint
 * @param answerBegun whether the head of the answer had arrived, but no event
 * @param atMs time at which the connection was lost, in milliseconds
 */
public record PromptCrash(
    String endpointId, String attemptId, List<String> parts, boolean answerBegun, long atMs) {

  /** Makes a defensive copy of the list. */
  public PromptCrash {
    parts = List.copyOf(parts);
  }

  /**
   * Identifies a prompt at an endpoint, whichever VM tells of it.
   *
   * @param endpointId id of the endpoint
   * @param attemptId id of the client attempt
   */
  public record Key(String endpointId, String attemptId) {}

  /** Returns what identifies this observation. */
  public Key key() {
    return new Key(endpointId, attemptId);
  }

  /** Returns the same observation at another time, in milliseconds. */
  PromptCrash at(long ms) {
    return new PromptCrash(endpointId, attemptId, parts, answerBegun, ms);
  }
}
