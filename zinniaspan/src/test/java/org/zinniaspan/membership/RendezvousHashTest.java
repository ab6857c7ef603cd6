package org.zinniaspan.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.junit.jupiter.api.Test;

class RendezvousHashTest {

  private static List<Member> members(int count) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(new Member("vm-" + i, 1, "127.0.0.1:1", false));
    }
    return members;
  }

  @Test
  void onlyKeysOfLostMemberMove() {
    List<Member> before = members(7);
    Collection<Member> after = before.subList(0, 6);
    for (int key = 0; key < 500; key++) {
      Member owner = RendezvousHash.owner("key-" + key, before);
      if (after.contains(owner)) {
        assertThat(RendezvousHash.owner("key-" + key, after)).isEqualTo(owner);
      }
    }
  }

  @Test
  void keysSpreadOverAllMembers() {
    List<Member> members = members(7);
    int[] counts = new int[7];
    for (int key = 0; key < 7_000; key++) {
      counts[members.indexOf(RendezvousHash.owner("key-" + key, members))]++;
    }
    for (int count : counts) {
      assertThat(count).isGreaterThan(800);
      assertThat(count).isLessThan(1_200);
    }
  }
}
