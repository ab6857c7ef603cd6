package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.zinniaspan.membership.RendezvousHash;

/**
 * Partitions the engines of a service between streams that tolerate long pauses and strict ones.
 *
 * <p>It limits the effect of a burst of long prompts. An engine prefills prompts between the tokens
 * of its running streams, so each long prompt stretches their pauses beyond a short target. The
 * engines are ranked by a hash that is the same on all VMs, and alternate between availability
 * zones; the first ones serve the tolerant streams. Their number is in proportion to the recent
 * work of each kind of stream.
 */
final class EnginePartition {

  /**
   * Factor on the work of strict streams. It gives them spare capacity, so that prompts seldom
   * follow each other directly on an engine.
   */
  private static final double STRICT_WORK_FACTOR = 1.5;

  /** Smallest number of engines that is partitioned. */
  private static final int MIN_PARTITIONED_ENGINES = 3;

  private final StreamWork work;

  EnginePartition(StreamWork work) {
    this.work = work;
  }

  /**
   * Returns the ids of the engines that serve tolerant streams; all ids if the engines are not
   * partitioned.
   *
   * @param engines engines of one service; at least one
   */
  Set<String> tolerantEngines(List<TrackedEndpoint> engines) {
    List<String> ranked = ranked(engines);
    StreamWork.Shares shares = work.of(engines.get(0).listed().service());
    return new HashSet<>(ranked.subList(0, tolerantCount(shares, ranked.size())));
  }

  private static int tolerantCount(StreamWork.Shares shares, int engines) {
    double tolerant = shares.tolerant();
    double total = tolerant + STRICT_WORK_FACTOR * shares.strict();
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
