package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PromptQuarantineTest {

  private long nowMs = 10_000_000;
  private final ChangeSequence sequence = new ChangeSequence();
  private final PromptQuarantine quarantine = new PromptQuarantine(() -> nowMs, sequence);
  private int attempts;

  private static Prompt prompt(String... parts) {
    return new Prompt(100, 10, Arrays.stream(parts).map(part -> new PromptPart(part, 10)).toList());
  }

  private PromptCrash crashed(String endpoint, boolean answerBegun, String... parts) {
    attempts++;
    return new PromptCrash(endpoint, "a" + attempts, List.of(parts), answerBegun, nowMs);
  }

  private void crash(String endpoint, boolean answerBegun, String... parts) {
    PromptCrash crash = crashed(endpoint, answerBegun, parts);
    quarantine.suspect(crash);
    quarantine.confirm(crash.key());
  }

  /** Lets an endpoint crash as it begins to answer a prompt. */
  private void crash(String endpoint, String... parts) {
    crash(endpoint, true, parts);
  }

  private boolean isQuarantined(String... parts) {
    return quarantine.find(() -> Set.of(parts)).isPresent();
  }

  /** Guards against an analysis that keeps all requests waiting, as its time grows too fast. */
  @Nested
  class PromptsWithManyParts {

    private static final int SESSIONS = 30;
    private static final int PARTS = 1_100;

    private static String[] parts(int session) {
      return IntStream.range(0, PARTS)
          .mapToObj(i -> i == 0 ? "site" : "s" + session + "-" + i)
          .toArray(String[]::new);
    }

    private void crashWithAllSessions(String endpoint) {
      for (int session = 0; session < SESSIONS; session++) {
        crash(endpoint, session == 7, parts(session));
        isQuarantined("site", "other");
        nowMs++;
      }
      nowMs += 3_000;
    }

    @Test
    void areAnalysedInTime() {
      assertTimeoutPreemptively(
          Duration.ofSeconds(10),
          () -> {
            crashWithAllSessions("e1");
            crashWithAllSessions("e2");
            assertThat(isQuarantined(parts(7))).isTrue();
            assertThat(isQuarantined(parts(8))).isFalse();
            nowMs++;
            quarantine.onAnswered(List.of(parts(7)));
            nowMs += 200;
            assertThat(isQuarantined(parts(7))).isFalse();
          });
    }

    @Test
    void areForgottenBeforeTheyFillTheMemory() {
      assertTimeoutPreemptively(
          Duration.ofSeconds(10),
          () -> {
            for (int i = 0; i < 10; i++) {
              crashWithAllSessions("e" + i);
            }
            int traits =
                quarantine.changesSince(-1, false).crashes().stream()
                    .mapToInt(crash -> crash.parts().size())
                    .sum();
            assertThat(traits).isAtMost(60_000);
            assertThat(traits).isAtLeast(50_000);
            assertThat(isQuarantined(parts(7))).isTrue();
          });
    }
  }

  @Nested
  class TwoPromptsThatCrashEndpoints {

    @Test
    void quarantineAllPromptsWithTheirCommonParts() {
      crash("e1", "site", "subject", "dead", "own1");
      assertThat(isQuarantined("site", "subject", "dead", "own2")).isFalse();
      nowMs += 2_000;
      crash("e2", "site", "subject", "dead", "own2");
      assertThat(isQuarantined("site", "subject", "dead", "own3")).isTrue();
    }

    @Test
    void leavePromptsWithOnlySomeOfTheCommonPartsAlone() {
      crash("e1", "site", "subject", "dead", "own1");
      nowMs += 2_000;
      crash("e2", "site", "subject", "dead", "own2");
      assertThat(isQuarantined("site", "subject", "own3")).isFalse();
      assertThat(isQuarantined("site", "own4")).isFalse();
    }

    @Test
    void quarantineFewerPartsOnceOthersWereAnswered() {
      crash("e1", "site", "subject", "dead", "own1");
      nowMs += 2_000;
      crash("e2", "site", "subject", "dead", "own2");
      nowMs += 10;
      quarantine.onAnswered(prompt("site", "subject", "own3").partIds());
      assertThat(isQuarantined("elsewhere", "dead", "own4")).isTrue();
    }

    @Test
    void findThePartThatTheyHaveInCommonOnly() {
      crash("e1", "site", "one", "dead", "own1");
      nowMs += 2_000;
      crash("e2", "site", "two", "dead", "own2");
      quarantine.onAnswered(prompt("site", "three", "own3").partIds());
      nowMs += 10;
      assertThat(isQuarantined("site", "three", "dead", "own4")).isTrue();
      assertThat(isQuarantined("site", "two", "own5")).isFalse();
    }

    @Test
    void areEnoughHoweverShortlyAfterEachOther() {
      crash("e1", "site", "subject", "dead", "own1");
      nowMs += 20;
      crash("e2", "site", "subject", "dead", "own2");
      assertThat(isQuarantined("site", "subject", "dead", "own3")).isTrue();
    }
  }

  @Nested
  class OnePromptThatCrashesTwoEndpoints {

    @Test
    void quarantinesThatPromptOnly() {
      PromptCrash first = crashed("e1", true, "site", "subject", "dead", "own1");
      PromptCrash again = new PromptCrash("e2", "a1", first.parts(), true, nowMs + 40);
      List.of(first, again)
          .forEach(
              crash -> {
                quarantine.suspect(crash);
                quarantine.confirm(crash.key());
              });
      assertThat(isQuarantined("site", "subject", "dead", "own1")).isTrue();
      assertThat(isQuarantined("site", "subject", "dead", "own2")).isFalse();
    }
  }

  @Nested
  class SoundPromptsThatWaitAtCrashedEndpoints {

    @Test
    void areNotQuarantinedBesideTheOneWhoseAnswerHadBegun() {
      for (int i = 0; i < 2; i++) {
        crash("e" + i, false, "site", "busy", "own" + i);
        crash("e" + i, true, "site", "subject", "dead", "own-" + i);
        nowMs += 2_000;
      }
      assertThat(isQuarantined("site", "subject", "dead", "own")).isTrue();
      assertThat(isQuarantined("site", "busy", "own")).isFalse();
    }

    @Test
    void areNotQuarantinedAfterFewCrashesOfOtherCauses() {
      for (int i = 0; i < 3; i++) {
        crash("e" + i, false, "site", "busy", "own" + i);
        nowMs += 2_000;
      }
      assertThat(isQuarantined("site", "busy", "own")).isFalse();
    }

    @Test
    void areNotQuarantinedIfManyEndpointsCrashAtOnce() {
      for (int i = 0; i < 20; i++) {
        crash("e" + i, false, "site", "busy", "own" + i);
        nowMs += 4;
      }
      assertThat(isQuarantined("site", "busy", "own")).isFalse();
    }

    @Test
    void areNotQuarantinedIfTheirPartsAreAnsweredInBetween() {
      for (int i = 0; i < 8; i++) {
        crash("e" + i, true, "site", "busy", "own" + i);
        nowMs += 500;
        quarantine.onAnswered(prompt("site", "busy", "own-" + i).partIds());
        nowMs += 500;
      }
      assertThat(isQuarantined("site", "busy", "own")).isFalse();
    }
  }

  @Nested
  class PromptsThatNeverGetTheHeadOfAnAnswer {

    @Test
    void areQuarantinedAfterFourCrashes() {
      for (int i = 0; i < 4; i++) {
        assertThat(isQuarantined("site", "subject", "dead", "own")).isFalse();
        crash("e" + i, false, "site", "subject", "dead", "own" + i);
        crash("e" + i, false, "site", "sound" + i, "own-" + i);
        nowMs += 2_000;
      }
      assertThat(isQuarantined("site", "subject", "dead", "own")).isTrue();
    }
  }

  @Nested
  class Suspects {

    @Test
    void countAtOnceAndNoLongerIfTheEndpointHasNotCrashed() {
      crash("e1", "site", "dead", "own1");
      nowMs += 2_000;
      PromptCrash second = crashed("e2", true, "site", "dead", "own2");
      quarantine.suspect(second);
      assertThat(isQuarantined("site", "dead", "own3")).isTrue();
      quarantine.retract(second.key());
      assertThat(isQuarantined("site", "dead", "own3")).isFalse();
    }
  }

  @Nested
  class Ends {

    private void crashTimes(int count) {
      for (int i = 0; i < count; i++) {
        nowMs += 2_000;
        crash("e" + i, "site", "dead", "own" + i);
      }
    }

    @Test
    void someTimeAfterTheLastCrash() {
      crashTimes(2);
      nowMs += PromptQuarantine.MIN_QUARANTINE_MS - 1;
      assertThat(isQuarantined("site", "dead", "own")).isTrue();
      nowMs += 1;
      assertThat(isQuarantined("site", "dead", "own")).isFalse();
    }

    @Test
    void laterAfterEachFurtherCrash() {
      crashTimes(2);
      nowMs += PromptQuarantine.MIN_QUARANTINE_MS;
      crash("e", "site", "dead", "own-");
      nowMs += 2 * PromptQuarantine.MIN_QUARANTINE_MS - 1;
      assertThat(isQuarantined("site", "dead", "own")).isTrue();
      nowMs += 1;
      assertThat(isQuarantined("site", "dead", "own")).isFalse();
    }

    @Test
    void whenAllItsPartsWereAnswered() {
      crashTimes(2);
      nowMs += 1;
      quarantine.onAnswered(prompt("site", "dead", "own-").partIds());
      assertThat(isQuarantined("site", "dead", "own")).isFalse();
      assertThat(quarantine.size()).isEqualTo(0);
    }

    @Test
    void andLeavesNothingBehind() {
      crashTimes(2);
      nowMs += PromptQuarantine.CRASH_MEMORY_MS + 1;
      quarantine.tick();
      assertThat(quarantine.changesSince(0, false).crashes()).isEmpty();
    }
  }

  @Nested
  class Exchange {

    private final PromptQuarantine other = new PromptQuarantine(() -> nowMs, new ChangeSequence());

    @Test
    void bringsVmsToTheSameDecisionInAnyOrder() {
      Random random = new Random(7);
      List<PromptQuarantine.Changes> changes = new ArrayList<>();
      long known = 0;
      for (int i = 0; i < 6; i++) {
        crash("e" + i, random.nextBoolean(), "site", "s" + i % 2, "dead", "own" + i);
        nowMs += 1_000;
        quarantine.onAnswered(prompt("site", "s" + random.nextInt(2), "own-" + i).partIds());
        changes.add(quarantine.changesSince(known, true));
        known = sequence.last();
        nowMs += 1_000;
      }
      java.util.Collections.shuffle(changes, random);
      changes.forEach(other::merge);
      changes.forEach(other::merge);
      for (Prompt prompt :
          List.of(prompt("site", "s0", "dead", "x"), prompt("site", "s0", "x"), prompt("dead"))) {
        Set<String> parts = Set.copyOf(prompt.partIds());
        assertThat(other.find(() -> parts)).isEqualTo(quarantine.find(() -> parts));
      }
      assertThat(other.find(() -> Set.of("site", "s1", "dead", "x"))).isPresent();
    }

    @Test
    void tellsOthersOnlyWhatIsOfUse() {
      for (int i = 0; i < 100; i++) {
        quarantine.onAnswered(prompt("site", "s" + i).partIds());
      }
      assertThat(sequence.last()).isEqualTo(0);
      assertThat(quarantine.changesSince(0, false).isEmpty()).isTrue();
    }

    @Test
    void keepsTheEarliestTimeOfAnObservation() {
      crash("e1", "site", "dead", "own1");
      PromptCrash crash = quarantine.changesSince(0, true).crashes().get(0);
      nowMs += 30_000;
      other.merge(new PromptQuarantine.Changes(List.of(crash.at(nowMs)), java.util.Map.of()));
      other.merge(new PromptQuarantine.Changes(List.of(crash), java.util.Map.of()));
      other.merge(new PromptQuarantine.Changes(List.of(crash.at(nowMs)), java.util.Map.of()));
      assertThat(other.changesSince(0, false).crashes()).containsExactly(crash);
    }

    @Test
    void keepsNumberOfObservationsBounded() {
      for (int i = 0; i < 1_000; i++) {
        crash("e" + i, i % 10 == 0, "site", "part" + i);
        nowMs += 200;
      }
      assertThat(quarantine.changesSince(0, false).crashes().size()).isAtMost(256);
    }
  }

  /** Requests that crash whichever endpoint runs them, without a prompt. */
  @Nested
  class SingleRequests {

    private final String dead =
        RequestFingerprint.of("GET", "a", "/dead", Optional.of("key"), new byte[0]);
    private final String sound =
        RequestFingerprint.of("GET", "a", "/often", Optional.of("key"), new byte[0]);
    private int attempts;

    private void crash(String endpoint, String... fingerprints) {
      for (String fingerprint : fingerprints) {
        PromptCrash crash =
            new PromptCrash(endpoint, "r" + attempts++, List.of(fingerprint), false, nowMs);
        quarantine.suspect(crash);
        quarantine.confirm(crash.key());
      }
      nowMs += 200;
    }

    private boolean isRefused(String fingerprint) {
      return quarantine.find(() -> Set.of(fingerprint)).isPresent();
    }

    @Test
    void areRefusedAfterThreeCrashes() {
      crash("e1", dead);
      crash("e2", dead);
      assertThat(isRefused(dead)).isFalse();
      crash("e3", dead);
      assertThat(isRefused(dead)).isTrue();
      assertThat(isRefused(sound)).isFalse();
    }

    @Test
    void areRefusedIfTheyCrashOneEndpointRightAfterTheOther() {
      crash("e1", dead);
      nowMs -= 150;
      crash("e2", dead);
      nowMs -= 150;
      crash("e3", dead);
      assertThat(isRefused(dead)).isTrue();
    }

    @Test
    void areNotRefusedIfTheyWereAnsweredInBetween() {
      for (int i = 0; i < 6; i++) {
        crash("e" + i, dead, sound);
        quarantine.onAnswered(List.of(sound));
      }
      assertThat(isRefused(dead)).isTrue();
      assertThat(isRefused(sound)).isFalse();
    }

    @Test
    void areNotRefusedIfTheyWaitedAtTheSameCrashesAsTheCause() {
      crash("e1", dead, sound);
      crash("e2", dead, sound);
      crash("e3", dead, sound);
      assertThat(isRefused(sound)).isFalse();
      crash("e4", dead);
      assertThat(isRefused(dead)).isTrue();
      assertThat(isRefused(sound)).isFalse();
    }

    @Test
    void differByPathCallerAndBody() {
      byte[] none = new byte[0];
      assertThat(RequestFingerprint.of("GET", "a", "/dead", Optional.of("key"), none))
          .isEqualTo(dead);
      assertThat(RequestFingerprint.of("GET", "a", "/dead?x", Optional.of("key"), none))
          .isNotEqualTo(dead);
      assertThat(RequestFingerprint.of("GET", "a", "/dead", Optional.of("other"), none))
          .isNotEqualTo(dead);
      assertThat(RequestFingerprint.of("GET", "a", "/dead", Optional.of("key"), new byte[1]))
          .isNotEqualTo(dead);
    }
  }
}
