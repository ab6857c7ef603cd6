package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
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
    return reachability.nextProbes(() -> LISTED).stream().map(ListedEndpoint::id).toList();
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
      nowMs += 10;
      reachability.onConnected("e3");
      nowMs += 10;
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
      reachability.onConnected("e3");
      assertThat(reachability.isLost()).isFalse();
    }

    @Test
    void isLostAgainOnlyByNewFailures() {
      fail(0, 1, 2);
      nowMs += 10;
      reachability.onConnected("e3");
      nowMs += 10;
      fail(0, 1);
      assertThat(reachability.isLost()).isFalse();
      fail(4);
      assertThat(reachability.isLost()).isTrue();
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
  class Pauses {

    private void tickFor(long ms) {
      for (long end = nowMs + ms; nowMs < end; nowMs += 20) {
        probes();
      }
    }

    @Test
    void doNotMakeConnectionsCountAsFailedThatTimedOutMeanwhile() {
      tickFor(100);
      nowMs += 3_000;
      fail(0, 1);
      tickFor(20);
      fail(2, 3);
      assertThat(reachability.isLost()).isFalse();
      assertThat(reachability.isReachable("e0")).isTrue();
    }

    @Test
    void areForgottenAfterTheTimeoutOfConnections() {
      tickFor(100);
      nowMs += 3_000;
      tickFor(600);
      fail(0, 1, 2);
      assertThat(reachability.isLost()).isTrue();
    }
  }

  @Nested
  class SingleEndpoints {

    @Test
    void areUnreachableUntilTheirNextConnectionIsOpened() {
      fail(0);
      reachability.onConnected("e1");
      nowMs += 20_000;
      assertThat(reachability.isReachable("e0")).isFalse();
      assertThat(reachability.isReachable("e1")).isTrue();
      reachability.onConnected("e0");
      assertThat(reachability.isReachable("e0")).isTrue();
    }

    @Test
    void areProbedEachSecondWhileUnreachable() {
      reachability.onConnected("e1");
      nowMs += 10;
      fail(0);
      nowMs += 10;
      reachability.onConnected("e1");
      int sent = 0;
      for (int i = 0; i < 500; i++) {
        nowMs += 20;
        List<String> probed = probes();
        sent += probed.size();
        assertThat(probed).isIn(List.of(List.of(), List.of("e0")));
      }
      assertThat(sent).isIn(Range.closed(7, 10));
    }

    @Test
    void areReachableAgainOnceTheyWereUnlisted() {
      fail(0);
      reachability.nextProbes(() -> List.of(endpoint(1)));
      assertThat(reachability.isReachable("e0")).isTrue();
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
      reachability.onConnected("e3");
      nowMs += 250;
      assertThat(probes()).isEmpty();
    }

    @Test
    void goFirstToEndpointsThatDidNotFail() {
      fail(0, 1, 2);
      assertThat(probes()).containsExactly("e3", "e4");
    }

    @Test
    void areNotSentToOthersAfterOneFailureWhileTheyRespond() {
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
