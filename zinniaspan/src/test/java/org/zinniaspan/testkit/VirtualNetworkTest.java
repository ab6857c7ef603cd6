package org.zinniaspan.testkit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.peer.proto.ClaimRelease;
import org.zinniaspan.peer.proto.Envelope;

class VirtualNetworkTest {

  private final VirtualClock clock = new VirtualClock(0);
  private final VirtualNetwork network = new VirtualNetwork(clock, 1);
  private final List<String> received = new ArrayList<>();

  @BeforeEach
  void startProcesses() {
    network.start("a", 1, message -> received.add("a"), () -> {});
    network.start("b", 1, message -> received.add(message.getFromVm()), () -> {});
  }

  private void send() {
    network
        .link("a", 1)
        .send("b", Envelope.newBuilder().setClaimRelease(ClaimRelease.getDefaultInstance()));
  }

  @Nested
  class WithoutFaults {
    @Test
    void deliversMessage() {
      send();
      network.advance(10);
      assertThat(received).containsExactly("a");
    }
  }

  @Nested
  class WithFaults {
    @Test
    void partitionDropsMessages() {
      network.partition("a", "b");
      send();
      network.advance(10);
      assertThat(received).isEmpty();
    }

    @Test
    void pausedProcessReceivesAfterResume() {
      network.pause("b");
      send();
      network.advance(10);
      assertThat(received).isEmpty();
      network.resume("b");
      assertThat(received).containsExactly("a");
    }

    @Test
    void messageForAnEarlierIncarnationIsDropped() {
      send();
      network.kill("b");
      network.start("b", 2, message -> received.add("new"), () -> {});
      network.advance(10);
      assertThat(received).isEmpty();
    }

    @Test
    void lossRateOfOneDropsEveryMessage() {
      network.setFaultRates(1.0, 0.0);
      send();
      network.advance(10);
      assertThat(received).isEmpty();
    }
  }
}
