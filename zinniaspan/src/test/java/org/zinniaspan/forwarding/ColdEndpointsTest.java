package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ColdEndpointsTest {

  private static final long COLD_MS = 3_000;
  private static final double PER_SECOND = 8.5;
  private static final ColdAllowance ALLOWANCE = new ColdAllowance(1.5, 5);

  private long nowMs = 50_000_000;
  private long stepMs;

  private static ListedEndpoint listed(String id, long startedAtMs, Optional<Long> coldMs) {
    return new ListedEndpoint(
        id, "service", "10.0.0.1:80", "z", "v1", 6, false, startedAtMs, coldMs);
  }

  private ColdEndpoints vm(EndpointDirectory directory, PermitShare share, double perSecond) {
    return new ColdEndpoints(
        () -> nowMs,
        () -> nowMs + stepMs,
        directory,
        service -> ColdSpec.of(COLD_MS / 1_000.0, perSecond),
        ALLOWANCE,
        () -> share);
  }

  /** VMs in three availability zones that all know that an endpoint is cold. */
  @Nested
  class AllVmsTogether {

    private static final int ZONES = 3;
    private static final long DURATION_MS = 60_000;

    private int most(int vms, double perSecond, double demandPerSecond, long seed, int[] sent) {
      final Random random = new Random(seed);
      List<ColdEndpoints> all = new ArrayList<>();
      EndpointDirectory directory = new EndpointDirectory(() -> nowMs);
      ListedEndpoint entry = listed("e" + seed, 1, Optional.of(DURATION_MS * 2));
      directory.replaceAll(List.of(entry));
      directory.onListCurrent(nowMs);
      TrackedEndpoint endpoint = directory.endpoint(entry.id()).orElseThrow();
      for (int i = 0; i < vms; i++) {
        int ofZone = vms / ZONES + (i % ZONES < vms % ZONES ? 1 : 0);
        all.add(vm(directory, new PermitShare(i % ZONES, ZONES, i / ZONES, ofZone), perSecond));
      }
      Deque<Long> window = new ArrayDeque<>();
      int most = 0;
      long endMs = nowMs + DURATION_MS;
      for (; nowMs < endMs; nowMs += 20) {
        for (ColdEndpoints vm : all) {
          if (random.nextDouble() < demandPerSecond * 0.02 / vms && vm.remainingMs(endpoint) <= 0) {
            vm.onSent(entry);
            sent[0]++;
            window.addLast(nowMs);
          }
        }
        while (!window.isEmpty() && nowMs - window.peekFirst() >= 1_000) {
          window.pollFirst();
        }
        most = Math.max(most, window.size());
        directory.onListCurrent(nowMs);
      }
      return most;
    }

    @ParameterizedTest
    @CsvSource({
      "4, 8.5",
      "4, 0.5",
      "4, 40",
      "91, 8.5",
      "91, 0.5",
      "91, 40",
      "371, 8.5",
      "371, 1",
      "371, 40"
    })
    void keepToTheBoundInAnySecondAndUseTheRate(int vms, double perSecond) {
      for (long seed = 1; seed <= 5; seed++) {
        int[] sent = {0};
        int most = most(vms, perSecond, Double.MAX_VALUE, seed, sent);
        assertWithMessage("seed %s", seed).that(most).isAtMost((int) ALLOWANCE.bound(perSecond));
        assertWithMessage("seed %s", seed)
            .that(sent[0])
            .isAtLeast((int) (0.9 * perSecond * DURATION_MS / 1_000) - 1);
      }
    }

    /** Requests come one by one, and go elsewhere if this VM has no slot. */
    @ParameterizedTest
    @CsvSource({"4, 40", "91, 200", "371, 800"})
    void useHalfOfTheRateIfNoRequestWaits(int vms, double demandPerSecond) {
      for (long seed = 1; seed <= 5; seed++) {
        int[] sent = {0};
        int most = most(vms, PER_SECOND, demandPerSecond, seed, sent);
        assertWithMessage("seed %s", seed).that(most).isAtMost((int) ALLOWANCE.bound(PER_SECOND));
        assertWithMessage("seed %s", seed)
            .that(sent[0])
            .isAtLeast((int) (0.5 * PER_SECOND * DURATION_MS / 1_000));
      }
    }
  }

  @Nested
  class Allowances {

    @ParameterizedTest
    @CsvSource({"8.5, 1, 0", "8.5, 1.5, 5", "1, 1.5, 5", "100, 1.5, 5", "2.5, 1, 0", "40, 1.1, 0"})
    void boundTheSlotsThatAreUsableInOneSecond(double perSecond, double overrun, double slack) {
      ColdAllowance allowance = new ColdAllowance(overrun, slack);
      ColdAllowance.Pace pace = allowance.pace(perSecond);
      double validityS = Math.max(pace.validityMs() / 1_000.0, 1 / pace.perSecond());
      assertThat(pace.perSecond() * (1 + validityS) + 1)
          .isAtMost(Math.max(allowance.bound(perSecond), 3) + 0.01);
      assertThat(pace.perSecond()).isAtLeast(0.25 * perSecond);
    }
  }

  /** What one VM knows of an endpoint. */
  @Nested
  class Knowledge {

    private final EndpointDirectory directory = new EndpointDirectory(() -> nowMs);
    private final ColdEndpoints vm = vm(directory, new PermitShare(0, 3, 0, 30), PER_SECOND);

    @BeforeEach
    void readTheFirstList() {
      list(listed("e", 1, Optional.of(0L)));
    }

    private void list(ListedEndpoint... entries) {
      directory.replaceAll(List.of(entries));
      directory.onListCurrent(nowMs);
    }

    private void pass(long ms) {
      long endMs = nowMs + ms;
      while (nowMs < endMs) {
        nowMs += Math.min(500, endMs - nowMs);
        directory.onListCurrent(nowMs);
      }
    }

    private void passUnconfirmed(long ms) {
      long endMs = nowMs + ms;
      while (nowMs < endMs) {
        nowMs += Math.min(500, endMs - nowMs);
        directory.tick();
      }
    }

    private boolean isCold(String id) {
      return vm.appliesTo(directory.endpoint(id).orElseThrow().listed());
    }

    @Test
    void beginsWithWarmEndpointsThatStateIt() {
      assertThat(isCold("e")).isFalse();
      assertThat(vm.remainingMs(directory.endpoint("e").orElseThrow())).isEqualTo(0);
    }

    @Test
    void lastsAsLongAsTheEntryStates() {
      list(listed("e", 1, Optional.of(2_000L)));
      pass(1_980);
      assertThat(isCold("e")).isTrue();
      pass(20);
      assertThat(isCold("e")).isFalse();
      list(listed("e", 1, Optional.of(0L)));
      list(listed("e", 1, Optional.of(2_000L)));
      assertThat(isCold("e")).isTrue();
    }

    @Test
    void isNotProlongedByTheSameEntryThatIsReadAgain() {
      list(listed("e", 1, Optional.of(2_000L)));
      pass(1_500);
      list(listed("e", 1, Optional.of(2_000L)));
      pass(600);
      assertThat(isCold("e")).isFalse();
    }

    @Test
    void isNotShortenedByOlderStatements() {
      directory.onStatedCold(directory.endpoint("e").orElseThrow().listed(), 2_000);
      list(listed("e", 1, Optional.of(0L)));
      assertThat(isCold("e")).isTrue();
    }

    @Test
    void coversNewEndpointsWhoseEntryStatesNothing() {
      list(listed("e", 1, Optional.of(0L)), listed("f", 2, Optional.empty()));
      assertThat(isCold("f")).isTrue();
      pass(COLD_MS);
      assertThat(isCold("f")).isFalse();
    }

    @Test
    void coversNewIncarnationsThatStartedRecently() {
      list(listed("e", nowMs - 1_000, Optional.of(0L)));
      assertThat(isCold("e")).isTrue();
      pass(2_000);
      assertThat(isCold("e")).isFalse();
    }

    @Test
    void isNotBelievedForeverIfTheTimeOfDayIsWrong() {
      stepMs = -3_600_000;
      list(listed("e", nowMs, Optional.of(0L)));
      assertThat(isCold("e")).isTrue();
      pass(COLD_MS);
      assertThat(isCold("e")).isFalse();
    }

    @Test
    void leavesEndpointsWarmThatAreListedAgain() {
      list();
      list(listed("e", 1, Optional.empty()));
      assertThat(isCold("e")).isFalse();
    }

    @Test
    void ofTheFirstListTakesStatedWarmthForTrue() {
      EndpointDirectory other = new EndpointDirectory(() -> nowMs);
      other.replaceAll(List.of(listed("g", nowMs - 100, Optional.of(0L))));
      other.onListCurrent(nowMs);
      ColdEndpoints started = vm(other, new PermitShare(0, 3, 0, 30), PER_SECOND);
      assertThat(started.appliesTo(other.endpoint("g").orElseThrow().listed())).isFalse();
    }

    @Test
    void coversEndpointsThatCanBeConnectedToAgain() {
      ListedEndpoint entry = directory.endpoint("e").orElseThrow().listed();
      vm.onConnectFailed(entry);
      pass(5_000);
      assertThat(isCold("e")).isFalse();
      vm.onConnected(entry);
      assertThat(isCold("e")).isTrue();
      pass(1_000);
      assertThat(isCold("e")).isFalse();
    }

    @Test
    void coversThemLongerWhileTheListIsNotConfirmed() {
      ListedEndpoint entry = directory.endpoint("e").orElseThrow().listed();
      vm.onConnectFailed(entry);
      passUnconfirmed(10_000);
      vm.onConnected(entry);
      passUnconfirmed(COLD_MS - 20);
      assertThat(isCold("e")).isTrue();
      passUnconfirmed(20);
      assertThat(isCold("e")).isFalse();
    }

    @Test
    void isDoubtedForSomeTimeAfterPauses() {
      nowMs += 3_000;
      assertThat(isCold("e")).isTrue();
      directory.onListCurrent(nowMs);
      assertThat(isCold("e")).isFalse();
      nowMs += 3_000;
      assertThat(isCold("e")).isTrue();
      nowMs += 990;
      assertThat(isCold("e")).isTrue();
      nowMs += 10;
      assertThat(isCold("e")).isFalse();
    }

    @Test
    void clearsTheCachedPrompts() {
      Prompt prompt = new Prompt(100, 10, List.of(new PromptPart("a", 100)));
      TrackedEndpoint endpoint = directory.endpoint("e").orElseThrow();
      endpoint.recordPrompt(prompt);
      assertThat(endpoint.cachedTokens(prompt)).isEqualTo(100);
      list(listed("e", 1, Optional.of(2_000L)));
      assertThat(endpoint.cachedTokens(prompt)).isEqualTo(0);
      endpoint.recordPrompt(prompt);
      list(listed("e", 1, Optional.of(2_600L)));
      assertThat(endpoint.cachedTokens(prompt)).isEqualTo(100);
    }

    @Test
    void isPassedOnWithTheTimeThatIsLeft() {
      list(listed("e", 1, Optional.of(2_000L)));
      final long changes = directory.changeCount();
      pass(500);
      assertThat(directory.entries().get(0).coldRemainingMs()).hasValue(1_500L);
      list(listed("e", 1, Optional.of(1_400L)));
      assertThat(directory.changeCount()).isEqualTo(changes);
      pass(5_000);
      assertThat(directory.entries().get(0).coldRemainingMs()).hasValue(0L);
    }

    @Test
    void isCounted() {
      list(listed("e", 1, Optional.of(60_000L)));
      TrackedEndpoint endpoint = directory.endpoint("e").orElseThrow();
      while (vm.remainingMs(endpoint) > 0) {
        pass(20);
      }
      vm.onSent(endpoint.listed());
      assertThat(vm.sentCount()).isEqualTo(1);
      assertThat(vm.remainingMs(endpoint)).isGreaterThan(0L);
      assertThat(vm.heldBackCount()).isGreaterThan(0L);
    }
  }
}
