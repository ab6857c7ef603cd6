package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.membership.RendezvousHash;

/**
 * Divides the engines of a service between streams that tolerate long pauses and those that do not.
 *
 * <p>Load pattern: a burst of long prompts. An engine reads prompts between the tokens of its
 * running streams, so that each long prompt stretches their pauses past a short target. The engines
 * are ranked by a hash that is the same on all VMs, and alternate between availability zones; the
 * first ones serve the tolerant streams. Their number follows the work that each kind brings.
 */
final class EnginePartition {

  /** Time in which the memory of work falls to half, in milliseconds. */
  private static final double WORK_HALF_LIFE_MS = 4_000;

  /** Capacity that strict streams get for their work, so that few prompts follow each other. */
  private static final double STRICT_WORK_FACTOR = 1.5;

  /** Fewest engines that are divided. */
  private static final int MIN_PARTITIONED_ENGINES = 3;

  private final Clock clock;
  private final DecayingValue tolerantWork = new DecayingValue(WORK_HALF_LIFE_MS);
  private final DecayingValue strictWork = new DecayingValue(WORK_HALF_LIFE_MS);

  EnginePartition(Clock clock) {
    this.clock = clock;
  }

  /** Counts the work of a request, in any unit. */
  void onRequest(boolean tolerant, double work) {
    (tolerant ? tolerantWork : strictWork).add(work, clock.nowMs());
  }

  /** Returns the ids of the engines that serve tolerant streams first; all if none are divided. */
  Set<String> tolerantEngines(List<TrackedEndpoint> engines) {
    List<String> ranked = ranked(engines);
    return new HashSet<>(ranked.subList(0, tolerantCount(ranked.size())));
  }

  private int tolerantCount(int engines) {
    long now = clock.nowMs();
    double tolerant = tolerantWork.at(now);
    double total = tolerant + STRICT_WORK_FACTOR * strictWork.at(now);
    if (engines < MIN_PARTITIONED_ENGINES || total <= 0) {
      return engines;
    }
    long count = Math.round(engines * tolerant / total);
    return (int) Math.max(1, Math.min(engines - 1, count));
  }

  private static List<String> ranked(List<TrackedEndpoint> engines) {
    Map<String, List<String>> byZone = new TreeMap<>();
    for (TrackedEndpoint engine : engines) {
      byZone
          .computeIfAbsent(engine.listed().zone(), zone -> new ArrayList<>())
          .add(engine.listed().id());
    }
    byZone.replaceAll((zone, ids) -> RendezvousHash.ranked("tolerant", ids, ids.size()));
    int longest = byZone.values().stream().mapToInt(List::size).max().orElse(0);
    List<String> ranked = new ArrayList<>();
    for (int i = 0; i < longest; i++) {
      for (List<String> ids : byZone.values()) {
        if (i < ids.size()) {
          ranked.add(ids.get(i));
        }
      }
    }
    return ranked;
  }
}
