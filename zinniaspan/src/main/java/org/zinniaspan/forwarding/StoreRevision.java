package org.zinniaspan.forwarding;

import java.util.Comparator;

/**
 * A revision of the platform's store.
 *
 * <p>When the store is restored from a copy, its revision numbers go back and are given out again,
 * and its epoch rises. So revisions are ordered by epoch first.
 *
 * @param epoch number of times that the store was restored from a copy
 * @param number revision number within the epoch
 */
public record StoreRevision(long epoch, long number) implements Comparable<StoreRevision> {

  /** Lower than any revision of the store. */
  public static final StoreRevision NONE = new StoreRevision(-1, 0);

  private static final Comparator<StoreRevision> ORDER =
      Comparator.comparingLong(StoreRevision::epoch).thenComparingLong(StoreRevision::number);

  @Override
  public int compareTo(StoreRevision other) {
    return ORDER.compare(this, other);
  }
}
