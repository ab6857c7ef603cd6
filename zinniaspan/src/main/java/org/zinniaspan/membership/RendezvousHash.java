package org.zinniaspan.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous hashing: each key ranks all members, and the first rank owns it.
 *
 * <p>When a member goes, only its own keys move.
 */
public final class RendezvousHash {

  private RendezvousHash() {}

  /**
   * Returns the owner of a key.
   *
   * @throws java.util.NoSuchElementException if there are no members
   */
  public static Member owner(String key, Collection<Member> members) {
    return members.stream().min(byRank(key, Member::vm)).orElseThrow();
  }

  /** Returns at most {@code count} names in order of rank for a key. */
  public static List<String> ranked(String key, Collection<String> names, int count) {
    return names.stream().sorted(byRank(key, name -> name)).limit(count).toList();
  }

  private static <T> Comparator<T> byRank(String key, java.util.function.Function<T, String> name) {
    return Comparator.<T>comparingLong(item -> -weight(key, name.apply(item))).thenComparing(name);
  }

  private static long weight(String key, String name) {
    byte[] bytes = (name + '\n' + key).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(bytes)[0] >>> 1;
  }
}
