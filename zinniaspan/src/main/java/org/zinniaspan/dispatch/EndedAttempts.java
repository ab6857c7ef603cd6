package org.zinniaspan.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.zinniaspan.peer.proto.SlotRefusal;

/**
 * Remembers the attempts that ended last, so that late and duplicate messages do not restart them.
 */
final class EndedAttempts {

  private static final int MAX_ATTEMPTS = 4_096;

  /** Refusals by attempt, empty for released attempts; the oldest is evicted first. */
  private final Map<String, Optional<SlotRefusal>> refusalByAttempt =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Optional<SlotRefusal>> eldest) {
          return size() > MAX_ATTEMPTS;
        }
      };

  void recordRelease(String attemptId) {
    refusalByAttempt.put(attemptId, Optional.empty());
  }

  void recordRefusal(SlotRefusal refusal) {
    refusalByAttempt.put(refusal.getAttemptId(), Optional.of(refusal));
  }

  boolean contains(String attemptId) {
    return refusalByAttempt.containsKey(attemptId);
  }

  boolean wasReleased(String attemptId) {
    return contains(attemptId) && refusalByAttempt.get(attemptId).isEmpty();
  }

  Optional<SlotRefusal> refusalOf(String attemptId) {
    return refusalByAttempt.getOrDefault(attemptId, Optional.empty());
  }

  void clear() {
    refusalByAttempt.clear();
  }
}
