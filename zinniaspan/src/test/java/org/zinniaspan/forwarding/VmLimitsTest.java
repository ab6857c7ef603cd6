package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class VmLimitsTest {

  private final VmLimits limits = VmLimits.of(4_100, 330, 1L << 30);

  @Test
  void leaveRoomForConnectionsThatComeAnyway() {
    assertThat(limits.isExhausted(3_400, 0)).isFalse();
    assertThat(limits.isExhausted(3_600, 0)).isTrue();
    assertThat(limits.maxSockets()).isLessThan(4_100 - 200);
  }

  @Test
  void boundTheMemoryOfRequestBodies() {
    assertThat(limits.isExhausted(10, 20_000_000)).isFalse();
    assertThat(limits.isExhausted(10, 35_000_000)).isTrue();
  }

  @Test
  void leaveMostOfTheHeapToOthers() {
    VmLimits small = VmLimits.of(4_100, 330, 96 << 20);
    assertThat(small.maxBodyBytes()).isEqualTo(24 << 20);
    assertThat(small.maxResponseBytes()).isEqualTo(12 << 20);
  }

  @Test
  void boundTheConnectionsOfEachKind() {
    VmLimits small = VmLimits.of(4_100, 330, 96 << 20);
    assertThat(small.clients()).isEqualTo(new VmLimits.ListenerLimits(2_535, 12 << 20));
    assertThat(small.peers()).isEqualTo(new VmLimits.ListenerLimits(312, 3 << 20));
    assertThat(small.operators()).isEqualTo(new VmLimits.ListenerLimits(39, 3 << 19));
  }
}
