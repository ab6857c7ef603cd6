package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointDirectoryTest {

  private long nowMs = 10_000;
  private final EndpointDirectory directory = new EndpointDirectory(() -> nowMs);

  private static ListedEndpoint endpoint(String id, boolean draining, long bornMs) {
    return new ListedEndpoint(id, "service", "10.0.0.1:80", "zone-a", "v1", 6, draining, bornMs);
  }

  private List<String> ready() {
    return directory.ready("service").stream().map(e -> e.listed().id()).sorted().toList();
  }

  @Test
  void excludesDrainingEndpointsAtOnce() {
    directory.replaceAll(List.of(endpoint("a", false, 1), endpoint("b", false, 1)));
    directory.apply(new EndpointChange.Listed(endpoint("a", true, 1)));
    assertThat(ready()).containsExactly("b");
  }

  @Test
  void clearsCachedPartsOfNewIncarnationUnderTheSameId() {
    directory.replaceAll(List.of(endpoint("a", false, 1)));
    Prompt prompt = new Prompt(500, 10, List.of(new PromptPart("part", 500)));
    directory.ready("service").get(0).recordPrompt(prompt);
    assertThat(directory.ready("service").get(0).cachedTokens(prompt)).isEqualTo(500);
    directory.apply(new EndpointChange.Listed(endpoint("a", false, 2)));
    assertThat(directory.ready("service").get(0).cachedTokens(prompt)).isEqualTo(0);
  }

  @Test
  void keepsIncarnationsDrainingAfterAnOutage() {
    directory.replaceAll(List.of(endpoint("a", true, 1)));
    directory.onPlatformRecovered();
    directory.replaceAll(List.of(endpoint("a", false, 1)));
    assertThat(ready()).isEmpty();
    directory.replaceAll(List.of(endpoint("a", false, 2)));
    assertThat(ready()).containsExactly("a");
  }

  /** An endpoint whose own statement that it is draining must outlast its entry in the list. */
  @Nested
  class StatedDraining {

    private void stateDraining() {
      directory.replaceAll(List.of(endpoint("a", false, 1), endpoint("b", false, 1)));
      directory.onStatedDraining(endpoint("a", false, 1));
    }

    @Test
    void excludesEndpointAtOnce() {
      stateDraining();
      assertThat(ready()).containsExactly("b");
    }

    @Test
    void holdsAfterEntryWasRemovedAndListedAgain() {
      stateDraining();
      directory.replaceAll(List.of(endpoint("b", false, 1)));
      nowMs += 10_000;
      directory.replaceAll(List.of(endpoint("a", false, 1), endpoint("b", false, 1)));
      assertThat(ready()).containsExactly("b");
    }

    @Test
    void holdsIfEntryIsNotListedAtTheTime() {
      directory.replaceAll(List.of(endpoint("b", false, 1)));
      directory.onStatedDraining(endpoint("a", false, 1));
      directory.replaceAll(List.of(endpoint("a", false, 1), endpoint("b", false, 1)));
      assertThat(ready()).containsExactly("b");
    }

    @Test
    void endsWithIncarnation() {
      stateDraining();
      directory.replaceAll(List.of(endpoint("a", false, 2), endpoint("b", false, 1)));
      assertThat(ready()).containsExactly("a", "b");
    }
  }

  @Nested
  class Removal {

    @Test
    void isImmediateWhileThePlatformResponds() {
      directory.replaceAll(List.of(endpoint("a", false, 1), endpoint("b", false, 1)));
      directory.apply(new EndpointChange.Removed("a"));
      assertThat(ready()).containsExactly("b");
    }

    @Test
    void isDelayedAfterAnOutage() {
      directory.replaceAll(List.of(endpoint("a", false, 1), endpoint("b", false, 1)));
      directory.onPlatformRecovered();
      directory.replaceAll(List.of(endpoint("b", false, 1)));
      nowMs += 2_000;
      directory.tick();
      assertThat(ready()).containsExactly("a", "b");
      nowMs += 500;
      directory.tick();
      assertThat(ready()).containsExactly("b");
    }

    @Test
    void isCancelledWhenTheEntryReturns() {
      directory.replaceAll(List.of(endpoint("a", false, 1)));
      directory.onPlatformRecovered();
      directory.replaceAll(List.of());
      nowMs += 1_500;
      directory.apply(new EndpointChange.Listed(endpoint("a", false, 1)));
      nowMs += 5_000;
      directory.tick();
      assertThat(ready()).containsExactly("a");
    }
  }

  /** Guards against time in which nothing confirmed the list counting as observed. */
  @Nested
  class ObservedTime {

    /** Lets 40 s pass in which the list is confirmed each second. */
    @BeforeEach
    void observe() {
      for (int i = 0; i <= 40; i++) {
        directory.onListCurrent(nowMs);
        nowMs += 1_000;
        directory.tick();
      }
    }

    private void passWithoutConfirmation(long ms) {
      for (long end = nowMs + ms; nowMs < end; nowMs += 500) {
        directory.tick();
      }
    }

    @Test
    void growsWhileTheListIsConfirmed() {
      assertThat(directory.observedMs()).isEqualTo(41_000);
      passWithoutConfirmation(3_000);
      assertThat(directory.isListConfirmed()).isTrue();
      assertThat(directory.observedMs()).isEqualTo(44_000);
    }

    /** Guards against a watch without changes being taken for a time without confirmation. */
    @Test
    void growsWhileWatchesWaitForLong() {
      directory.setWatchWait(4_000);
      for (int i = 0; i < 5; i++) {
        final long requestedMs = nowMs;
        passWithoutConfirmation(4_500);
        assertThat(directory.isListConfirmed()).isTrue();
        directory.onListCurrent(requestedMs);
      }
      assertThat(directory.observedMs()).isEqualTo(63_500);
    }

    @Test
    void startsAnewAfterTimeWithoutConfirmation() {
      passWithoutConfirmation(6_000);
      assertThat(directory.isListConfirmed()).isFalse();
      assertThat(directory.observedMs()).isEqualTo(0);
      directory.onListCurrent(nowMs);
      nowMs += 500;
      assertThat(directory.observedMs()).isEqualTo(500);
    }
  }
}
