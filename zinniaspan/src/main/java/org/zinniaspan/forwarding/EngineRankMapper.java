package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Maps the priority ranks of organisations and routes to the ranks that engines accept.
 *
 * <p>An organisation's rank takes precedence over its route's. While the engines' ranks suffice,
 * each combination has its own rank; otherwise neighbouring combinations share one, and the order
 * is kept. Example: with organisations ranked 0 and 1 and routes ranked 0 and 2, the combinations
 * (0, 0), (0, 2), (1, 0) and (1, 2) have the engine ranks 0, 1, 2 and 3.
 */
public final class EngineRankMapper {

  /** Least urgent rank that engines accept. */
  private static final int LEAST_URGENT_RANK = 9;

  private final List<Integer> organisationRanks;
  private final List<Integer> routeRanks;

  /** Creates a mapper for the ranks that a configuration uses. */
  public EngineRankMapper(List<Integer> organisationRanks, List<Integer> routeRanks) {
    this.organisationRanks = new ArrayList<>(new TreeSet<>(organisationRanks));
    this.routeRanks = new ArrayList<>(new TreeSet<>(routeRanks));
  }

  /** Returns the rank at an engine; an organisation without a rank comes after all others. */
  public int rank(Optional<Integer> organisationRank, int routeRank) {
    int organisationIndex =
        organisationRank.map(organisationRanks::indexOf).orElse(organisationRanks.size());
    int routeRankCount = Math.max(1, routeRanks.size());
    int rank =
        Math.max(0, organisationIndex) * routeRankCount
            + Math.max(0, routeRanks.indexOf(routeRank));
    int lastRank = (organisationRanks.size() + 1) * routeRankCount - 1;
    if (lastRank <= LEAST_URGENT_RANK) {
      return rank;
    }
    return (int) ((long) rank * LEAST_URGENT_RANK / lastRank);
  }
}
