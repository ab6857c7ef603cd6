package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointReachabilityTest {

  private static final List<ListedEndpoint> LISTED =
      IntStream.range(0, 6).mapToObj(EndpointReachabilityTest::endpoint).toList();

  private long nowMs = 1_000;
  private final EndpointReachability reachability =
      new EndpointReachability(() -> nowMs, new Random(1), LISTED::size);

  private static ListedEndpoint endpoint(int number) {
    return new ListedEndpoint(
        "e" + number, "service", "10.0.0.1:80", "zone-a", "v1", 6, number == 5, 1);
  }

  private void fail(int... numbers) {
    for (int number : numbers) {
      reachability.onConnectFailed("e" + number);
    }
  }

  private List<String> probes() {
    return reachability.nextProbes(LISTED).stream().map(ListedEndpoint::id).toList();
  }

  @Nested
  class Path {

    @Test
    void isLostOnceThreeEndpointsFailed() {
      fail(0, 0, 1, 1);
      assertThat(reachability.isLost()).isFalse();
      fail(2);
      assertThat(reachability.isLost()).isTrue();
    }

    @Test
    void isNotLostIfOneConnectionWasOpenedInBetween() {
      fail(0, 1);
      reachability.onConnected();
      fail(2);
      assertThat(reachability.isLost()).isFalse();
    }

    @Test
    void isNotLostIfEndpointsFailLongAfterOneAnother() {
      for (int number = 0; number < 5; number++) {
        fail(number);
        nowMs += 3_000;
      }
      assertThat(reachability.isLost()).isFalse();
    }

    @Test
    void isLostAlthoughOpenConnectionsLiveOn() {
      fail(0, 1);
      reachability.onBytes();
      fail(2);
      assertThat(reachability.isLost()).isTrue();
    }

    @Test
    void isBackWithTheFirstOpenedConnection() {
      fail(0, 1, 2);
      reachability.onConnected();
      assertThat(reachability.isLost()).isFalse();
    }

    @Test
    void isLostWithFewerFailuresIfFewerEndpointsAreListed() {
      EndpointReachability small = new EndpointReachability(() -> nowMs, new Random(1), () -> 2);
      small.onConnectFailed("e0");
      assertThat(small.isLost()).isFalse();
      small.onConnectFailed("e1");
      assertThat(small.isLost()).isTrue();
    }
  }

  @Nested
  class Probes {

    @Test
    void areNotSentWhileNothingIsInProgress() {
      nowMs += 60_000;
      assertThat(probes()).isEmpty();
    }

    @Test
    void areNotSentWhileBytesArrive() {
      reachability.onSent();
      for (int i = 0; i < 20; i++) {
        nowMs += 100;
        reachability.onBytes();
        assertThat(probes()).isEmpty();
      }
    }

    @Test
    void areSentAfterSilence() {
      reachability.onSent();
      nowMs += 601;
      assertThat(probes()).hasSize(2);
      assertThat(probes()).isEmpty();
      nowMs += 250;
      assertThat(probes()).hasSize(2);
      reachability.onConnected();
      nowMs += 250;
      assertThat(probes()).isEmpty();
    }

    @Test
    void goFirstToEndpointsThatDidNotFail() {
      fail(0, 1, 2);
      assertThat(probes()).containsExactly("e3", "e4");
    }

    @Test
    void areNotSentAfterOneFailureWhileOthersRespond() {
      reachability.onSent();
      fail(0);
      reachability.onBytes();
      nowMs += 150;
      assertThat(probes()).isEmpty();
      nowMs += 100;
      assertThat(probes()).hasSize(2);
    }
  }
}
