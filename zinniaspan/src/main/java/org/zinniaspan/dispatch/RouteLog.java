package org.zinniaspan.dispatch;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.request.NotRunReason;

/** Writes a log line for each decision and counts refusals by reason. */
public final class RouteLog implements SlotListener {

  private final Map<String, LongAdder> refusals = new ConcurrentHashMap<>();
  private final LongAdder preemptions = new LongAdder();

  @Override
  public void granted(Decided decided, String endpoint) {
    line(decided, "granted").with("endpoint", endpoint).info();
  }

  @Override
  public void refused(Decided decided, NotRunReason reason, long retryAfterMs) {
    refusals.computeIfAbsent(reason.code(), code -> new LongAdder()).increment();
    line(decided, "refused")
        .with("reason", reason.code())
        .with("retryAfterMs", retryAfterMs)
        .info();
  }

  @Override
  public void preempted(Decided decided) {
    preemptions.increment();
    line(decided, "preempted").info();
  }

  /** Returns the number of refusals by reason. */
  public Map<String, Double> refusals() {
    Map<String, Double> counts = new TreeMap<>();
    refusals.forEach((reason, count) -> counts.put(reason, (double) count.sum()));
    return counts;
  }

  /** Returns the number of preemptions. */
  public double preemptions() {
    return preemptions.sum();
  }

  private static EventLog line(Decided decided, String decision) {
    SlotAsk ask = decided.ask();
    return EventLog.event("route")
        .with("decision", decision)
        .with("attemptId", ask.attemptId())
        .with("pool", ask.pool().id())
        .with("class", ask.serviceClass().name())
        .with("tier", ask.serviceClass().tier())
        .with("organisation", ask.organisation())
        .with("gateway", decided.vm())
        .with("queueLength", decided.waiting())
        .with("waitedMs", decided.waitedMs());
  }
}
