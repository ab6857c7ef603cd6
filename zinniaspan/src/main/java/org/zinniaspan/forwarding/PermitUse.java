package org.zinniaspan.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;
import org.zinniaspan.clock.Clock;

/** The slots of {@link PermitSchedule}s that this VM has used. Not thread-safe. */
final class PermitUse {

  /** Step back of the time of day after which used slots are forgotten, in milliseconds. */
  private static final long MAX_STEP_MS = 2_000;

  /** Number of endpoints whose used slots are kept. */
  private static final int MAX_ENDPOINTS = 5_000;

  /** Begin of the last slot that is not usable any more, and the schedule's time between slots. */
  private record Used(long untilMs, double slotMs) {}

  private final Clock timeOfDay;
  private final Map<EndpointIncarnation, Used> used =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointIncarnation, Used> eldest) {
          return size() > MAX_ENDPOINTS;
        }
      };

  PermitUse(Clock timeOfDay) {
    this.timeOfDay = timeOfDay;
  }

  /** Uses the present slot of this VM at an endpoint. */
  void use(ListedEndpoint endpoint, PermitSchedule schedule) {
    long slotMs = schedule.nextMs(timeOfDay.nowMs(), usedUntilMs(endpoint, schedule));
    used.put(EndpointIncarnation.of(endpoint), new Used(slotMs, schedule.slotMs()));
  }

  /** Returns the time until this VM may send to an endpoint, in milliseconds. */
  long remainingMs(ListedEndpoint endpoint, PermitSchedule schedule) {
    long now = timeOfDay.nowMs();
    return Math.max(0, schedule.nextMs(now, usedUntilMs(endpoint, schedule)) - now);
  }

  /** Returns what {@link #remainingMs} returns, but changes no state. */
  long peekMs(ListedEndpoint endpoint, PermitSchedule schedule) {
    long now = timeOfDay.nowMs();
    Used known = used.get(EndpointIncarnation.of(endpoint));
    long untilMs = known == null ? 0 : Math.min(known.untilMs(), now);
    return Math.max(0, schedule.nextMs(now, untilMs) - now);
  }

  private long usedUntilMs(ListedEndpoint endpoint, PermitSchedule schedule) {
    long now = timeOfDay.nowMs();
    Used known = used.get(EndpointIncarnation.of(endpoint));
    if (known == null) {
      return 0;
    }
    // Slots move when their number changes: those that have begun may stand for used ones.
    if (known.slotMs() != schedule.slotMs() || known.untilMs() > now + MAX_STEP_MS) {
      used.put(EndpointIncarnation.of(endpoint), new Used(now, schedule.slotMs()));
      return now;
    }
    return known.untilMs();
  }
}
