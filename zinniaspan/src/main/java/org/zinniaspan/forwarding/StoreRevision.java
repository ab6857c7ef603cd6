package org.zinniaspan.forwarding;

import java.util.Comparator;

/**
 * A revision of the platform's store.
 *
 * <p>When the store comes back from a copy, its revision numbers go back and are given out again,
 * and its era rises. So revisions are ordered by era first.
 *
 * @param era number of times that the store came back from a copy
 * @param number revision number within the era
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {

  /** Lower than any revision of the store. */
  public static final StoreRevision NONE = new StoreRevision(-1, 0);

  private static final Comparator<StoreRevision> ORDER =
      Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);

  @Override
  public int compareTo(StoreRevision other) {
    return ORDER.compare(this, other);
  }
}
