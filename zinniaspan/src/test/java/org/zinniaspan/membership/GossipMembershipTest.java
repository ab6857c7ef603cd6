package org.zinniaspan.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.Heartbeat;
import org.zinniaspan.peer.proto.MemberEntry;

class GossipMembershipTest {

  private final GossipFleet fleet = new GossipFleet(4, 1);

  private GossipMembership vm(int number) {
    return fleet.vms.get(GossipFleet.name(number));
  }

  @Nested
  class Detection {
    @Test
    void killedVmIsRemovedAfterTheFailureTimeout() {
      fleet.network.advance(3_000);
      fleet.kill("vm-003");
      long tookMs = fleet.convergenceMs(10_000);
      assertThat(tookMs).isAtLeast(2_000L);
      assertThat(tookMs).isAtMost(3_600L);
    }

    @Test
    void changeTimeIsTheExpiryOfTheTimeout() {
      fleet.network.advance(3_000);
      fleet.kill("vm-003");
      fleet.convergenceMs(10_000);
      long changedAtMs = vm(0).changedAtMs();
      assertThat(fleet.clock.nowMs() - changedAtMs).isAtMost(1_500L);
      fleet.network.advance(5_000);
      assertThat(vm(0).changedAtMs()).isEqualTo(changedAtMs);
    }

    @Test
    void listedVmThatNeverRespondedIsNotLive() {
      fleet.list(List.of("vm-000", "vm-001", "ghost"), List.of());
      fleet.network.advance(5_000);
      assertThat(GossipFleet.names(vm(0))).doesNotContain("ghost");
      assertThat(vm(0).addressOf("ghost")).isPresent();
    }

    @Test
    void vmThatIsNotYetListedIsLive() {
      fleet.network.advance(3_000);
      fleet.start("vm-new");
      assertThat(fleet.convergenceMs(5_000)).isAtMost(2_000L);
    }

    @Test
    void lowerIncarnationIsIgnored() {
      fleet.network.advance(3_000);
      final Member before = vm(0).member("vm-003").orElseThrow();
      MemberEntry old = MemberEntry.newBuilder().setVm("vm-003").setIncarnation(1).build();
      Heartbeat heartbeat = Heartbeat.newBuilder().addEntries(old).build();
      vm(0).handle(Envelope.newBuilder().setFromVm("vm-003").setHeartbeat(heartbeat).build());
      assertThat(vm(0).member("vm-003").orElseThrow()).isEqualTo(before);
    }

    @Test
    void higherIncarnationReplacesTheLowerOneAtOnce() {
      fleet.network.advance(3_000);
      GossipMembership restarted = fleet.start("vm-003");
      fleet.network.advance(1_000);
      long seen = vm(0).member("vm-003").orElseThrow().incarnation();
      assertThat(seen).isEqualTo(restarted.self().incarnation());
    }
  }

  @Nested
  class Leaving {
    @Test
    void isKnownEverywhereWithinOnePeriodAndMovesTheRole() {
      fleet.network.advance(3_000);
      String owner = vm(0).ownerOf("role").vm();
      fleet.vms.get(owner).leave();
      fleet.network.advance(600);
      for (GossipMembership membership : fleet.vms.values()) {
        assertThat(membership.ownerOf("role").vm()).isNotEqualTo(owner);
      }
    }

    @Test
    void leavingStateOfTheVmListIsUsed() {
      fleet.network.advance(3_000);
      fleet.list(List.copyOf(fleet.vms.keySet()), List.of("vm-002"));
      fleet.network.advance(50);
      assertThat(vm(0).member("vm-002").orElseThrow().leaving()).isTrue();
      assertThat(vm(2).live().get(2).leaving()).isTrue();
    }
  }

  @Nested
  class Pauses {
    @Test
    void resumedProcessKeepsTheOtherMembersLive() {
      fleet.network.advance(3_000);
      fleet.network.pause("vm-000");
      fleet.network.advance(60_000);
      assertThat(GossipFleet.names(vm(1))).doesNotContain("vm-000");
      assertThat(GossipFleet.names(vm(0))).hasSize(4);
      assertThat(vm(0).isSettled()).isFalse();
      fleet.network.resume("vm-000");
      assertThat(GossipFleet.names(vm(0))).hasSize(4);
    }

    @Test
    void resumedProcessIsSettledAfterTheFailureTimeout() {
      fleet.network.advance(4_000);
      assertThat(vm(0).isSettled()).isTrue();
      fleet.network.pause("vm-000");
      fleet.network.advance(10_000);
      fleet.kill("vm-001");
      fleet.network.resume("vm-000");
      fleet.network.advance(100);
      assertThat(vm(0).isSettled()).isFalse();
      fleet.network.advance(3_100);
      assertThat(vm(0).isSettled()).isTrue();
      assertThat(GossipFleet.names(vm(0))).doesNotContain("vm-001");
    }
  }

  @Nested
  class Sizes {
    @ParameterizedTest
    @MethodSource("org.zinniaspan.membership.GossipMeasurement#sizes")
    void trafficDetectionAndHealingStayInBounds(int count) {
      GossipMeasurement measured = GossipMeasurement.of(count, 11);
      System.out.println(measured);
      assertThat(measured.bytesPerSecond()).isAtMost(6_000.0);
      assertThat(measured.detectionMs()).isAtMost(7_500L);
      assertThat(measured.falseSuspicions()).isEqualTo(0);
      assertThat(measured.healingMs()).isAtMost(5_000L);
    }
  }
}
