package org.zinniaspan.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.zinniaspan.request.NotRunReason;

/**
 * Records a violation for each request that a queue refuses after it granted a slot to a lower tier
 * while the request waited.
 */
final class PriorityOracle implements SlotDecisionListener {

  private final List<String> violations;
  private final Map<String, Integer> waiting = new HashMap<>();
  private final Set<String> overtaken = new HashSet<>();

  PriorityOracle(List<String> violations) {
    this.violations = violations;
  }

  @Override
  public void queued(DecidedRequest decided) {
    waiting.put(decided.request().attemptId(), decided.request().serviceClass().tier());
    overtaken.remove(decided.request().attemptId());
  }

  @Override
  public void granted(DecidedRequest decided, String endpoint) {
    waiting.remove(decided.request().attemptId());
    int tier = decided.request().serviceClass().tier();
    waiting.forEach(
        (attemptId, other) -> {
          if (other < tier) {
            overtaken.add(attemptId);
          }
        });
  }

  @Override
  public void refused(DecidedRequest decided, NotRunReason reason, long retryAfterMs) {
    String attemptId = decided.request().attemptId();
    waiting.remove(attemptId);
    if (overtaken.remove(attemptId)) {
      violations.add("refused after a lower tier got a slot: " + attemptId);
    }
  }

  @Override
  public void preempted(DecidedRequest decided) {}
}
