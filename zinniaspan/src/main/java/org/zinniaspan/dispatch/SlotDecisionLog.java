package org.zinniaspan.dispatch;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.request.NotRunReason;

/** Logs each slot decision, and counts refusals by reason and preemptions. */
public final class SlotDecisionLog implements SlotDecisionListener {

  private final Map<String, LongAdder> refusals = new ConcurrentHashMap<>();
  private final LongAdder preemptions = new LongAdder();

  @Override
  public void granted(DecidedRequest decided, String endpoint) {
    decisionEvent(decided, "granted").with("endpoint", endpoint).info();
  }

  @Override
  public void refused(DecidedRequest decided, NotRunReason reason, long retryAfterMs) {
    refusals.computeIfAbsent(reason.code(), code -> new LongAdder()).increment();
    decisionEvent(decided, "refused")
        .with("reason", reason.code())
        .with("retryAfterMs", retryAfterMs)
        .info();
  }

  @Override
  public void preempted(DecidedRequest decided) {
    preemptions.increment();
    decisionEvent(decided, "preempted").info();
  }

  /** Returns the number of refusals, by reason code. */
  public Map<String, Double> refusals() {
    Map<String, Double> counts = new TreeMap<>();
    refusals.forEach((reason, count) -> counts.put(reason, (double) count.sum()));
    return counts;
  }

  /** Returns the number of preemptions. */
  public double preemptions() {
    return preemptions.sum();
  }

  private static EventLog decisionEvent(DecidedRequest decided, String decision) {
    LeaseRequest request = decided.request();
    return EventLog.event("route")
        .with("decision", decision)
        .with("attemptId", request.attemptId())
        .with("pool", request.pool().id())
        .with("class", request.serviceClass().name())
        .with("tier", request.serviceClass().tier())
        .with("organisation", request.organisation())
        .with("gateway", decided.vm())
        .with("queueLength", decided.waiting())
        .with("waitedMs", decided.waitedMs());
  }
}
