package org.zinniaspan.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.zinniaspan.request.NotRunReason;

/** Notes each ask that one queue refuses after it lent a slot to a lower tier in the meantime. */
final class PriorityOracle implements SlotListener {

  private final List<String> violations;
  private final Map<String, Integer> waiting = new HashMap<>();
  private final Set<String> passed = new HashSet<>();

  PriorityOracle(List<String> violations) {
    this.violations = violations;
  }

  @Override
  public void queued(Decided decided) {
    waiting.put(decided.ask().attemptId(), decided.ask().serviceClass().tier());
    passed.remove(decided.ask().attemptId());
  }

  @Override
  public void granted(Decided decided, String endpoint) {
    waiting.remove(decided.ask().attemptId());
    int tier = decided.ask().serviceClass().tier();
    waiting.forEach(
        (attemptId, other) -> {
          if (other < tier) {
            passed.add(attemptId);
          }
        });
  }

  @Override
  public void refused(Decided decided, NotRunReason reason, long retryAfterMs) {
    String attemptId = decided.ask().attemptId();
    waiting.remove(attemptId);
    if (passed.remove(attemptId)) {
      violations.add("refused after a lower tier was admitted: " + attemptId);
    }
  }

  @Override
  public void preempted(Decided decided) {}
}
