package org.zinniaspan.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.zinniaspan.peer.proto.SlotRefusal;

/** The attempts that ended last, so that late and doubled messages do not revive them. */
final class EndedAttempts {

  private static final int MAX_ATTEMPTS = 4_096;

  private final Map<String, Optional<SlotRefusal>> answers =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Optional<SlotRefusal>> eldest) {
          return size() > MAX_ATTEMPTS;
        }
      };

  void released(String attemptId) {
    answers.put(attemptId, Optional.empty());
  }

  void refused(SlotRefusal refusal) {
    answers.put(refusal.getAttemptId(), Optional.of(refusal));
  }

  boolean contains(String attemptId) {
    return answers.containsKey(attemptId);
  }

  boolean wasReleased(String attemptId) {
    return contains(attemptId) && answers.get(attemptId).isEmpty();
  }

  Optional<SlotRefusal> refusalOf(String attemptId) {
    return answers.getOrDefault(attemptId, Optional.empty());
  }

  void clear() {
    answers.clear();
  }
}
