package org.zinniaspan.stream;

import org.zinniaspan.request.Outcome;

/** Result of starting a chat request. */
public sealed interface ChatStart {

  /** The first event has arrived and can be read. */
  record Started(ChatSession session) implements ChatStart {}

  /** The request ended without an answer; the outcome is not {@code Answered}. */
  record Ended(Outcome outcome) implements ChatStart {}

  /** The engine rejected the request itself; its status and message are for the caller. */
  record Rejected(int status, String message) implements ChatStart {}
}
