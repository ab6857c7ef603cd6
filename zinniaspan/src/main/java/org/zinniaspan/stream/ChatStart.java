package org.zinniaspan.stream;

import org.zinniaspan.request.Outcome;

/** Whether a chat request has begun to be answered. */
public sealed interface ChatStart {

  /** The first event can be read. */
  record Started(ChatSession session) implements ChatStart {}

  /** The request ends here; the outcome is not {@code Answered}. */
  record Ended(Outcome outcome) implements ChatStart {}

  /** The engine refused the content of the request. */
  record Rejected(int status, String message) implements ChatStart {}
}
