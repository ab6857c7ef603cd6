package org.zinniaspan.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous hashing: each key ranks all members by a hash, and the first in rank owns the key.
 *
 * <p>When a member is removed, only the keys that it owned move.
 */
public final class RendezvousHash {

  private static final Comparator<Weighted<?>> BY_RANK =
      Comparator.<Weighted<?>>comparingLong(weighted -> -weighted.weight())
          .thenComparing(Weighted::name);

  /** A member with its weight, which is computed once and not for each comparison. */
  private record Weighted<T>(T item, String name, long weight) {}

  private RendezvousHash() {}

  /**
   * Returns the owner of a key.
   *
   * @throws java.util.NoSuchElementException if there are no members
   */
  public static Member owner(String key, Collection<Member> members) {
    return members.stream()
        .map(member -> new Weighted<>(member, member.vm(), weight(key, member.vm())))
        .min(BY_RANK)
        .orElseThrow()
        .item();
  }

  /** Returns the first {@code count} names in rank order for a key, or all if there are fewer. */
  public static List<String> ranked(String key, Collection<String> names, int count) {
    return names.stream()
        .map(name -> new Weighted<>(name, name, weight(key, name)))
        .sorted(BY_RANK)
        .limit(count)
        .map(Weighted::item)
        .toList();
  }

  private static long weight(String key, String name) {
    byte[] bytes = (name + '\n' + key).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(bytes)[0] >>> 1;
  }
}
