package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineSpeedTest {

  private final MeasuredEngineSpeed speed = new MeasuredEngineSpeed();

  @Nested
  class Estimates {

    @Test
    void startFromPriors() {
      assertThat(speed.prefillMs(6_000)).isWithin(1).of(100);
      assertThat(speed.firstEventMs()).isWithin(1).of(40);
    }

    @Test
    void followTheEngine() {
      Random random = new Random(1);
      for (int i = 0; i < 300; i++) {
        long tokens = 300 + random.nextInt(8_000);
        speed.onFirstEvent(tokens, 55 + tokens / 20.0 + 6 * random.nextDouble());
        speed.onPlainCall(90 + 10 * random.nextDouble());
      }
      assertThat(speed.prefillMs(10_000)).isWithin(25).of(500);
      assertThat(speed.firstEventMs()).isWithin(15).of(58);
      assertThat(speed.plainCallMs()).isWithin(5).of(95);
    }

    @Test
    void stayWithinBoundsWhenObservationsAreNonsense() {
      for (int i = 0; i < 300; i++) {
        speed.onFirstEvent(i % 2 == 0 ? 0 : 9_000, i % 2 == 0 ? 1e9 : 0);
        speed.onPlainCall(-5);
        speed.onStream(-1, -1, 0, 0);
      }
      assertThat(speed.prefillMs(1_000)).isAtLeast(1.0);
      assertThat(speed.prefillMs(1_000)).isAtMost(250.0);
      assertThat(speed.plainCallMs()).isAtLeast(0.0);
      assertThat(speed.firstEventMs()).isAtLeast(0.0);
    }
  }

  /** A selector in front of engines of different speeds, which serve one prompt after another. */
  @Nested
  class Choice {

    private static final int ENGINES = 6;
    private static final double FIRST_EVENT_MS = 40;

    private record Arrival(double atMs, Prompt prompt) {}

    private record Completion(double atMs, TrackedEndpoint engine, long tokens) {}

    @Test
    void isNearlyAsGoodAsWithTheTrueSpeedFromTheFirstRequestOn() {
      for (double tokensPerMs : new double[] {20, 51, 68, 200}) {
        for (int requests : new int[] {50, 300, 1_000}) {
          double known = meanFirstByteMs(tokensPerMs, requests, false);
          double measured = meanFirstByteMs(tokensPerMs, requests, true);
          assertWithMessage("%s tokens a millisecond, %s requests", tokensPerMs, requests)
              .that(measured)
              .isAtMost(1.15 * known + 2);
        }
      }
    }

    private double meanFirstByteMs(double tokensPerMs, int requests, boolean measure) {
      MeasuredEngineSpeed measured = new MeasuredEngineSpeed();
      EngineSpeed known = new KnownSpeed(tokensPerMs);
      double[] nowMs = {10_000};
      Function<String, EngineSpeed> speeds = service -> measure ? measured : known;
      TimeToFirstByteSelector selector =
          new TimeToFirstByteSelector(
              () -> (long) nowMs[0],
              new ZoneCosts("zone-a", Map.of("zone-a", "west")),
              new StreamWork(() -> (long) nowMs[0]),
              speeds,
              new Random(3));
      List<TrackedEndpoint> engines = engines();
      Map<TrackedEndpoint, Double> freeAtMs = new HashMap<>();
      PriorityQueue<Completion> completions =
          new PriorityQueue<>((a, b) -> Double.compare(a.atMs(), b.atMs()));
      double sumMs = 0;
      for (Arrival arrival : arrivals(tokensPerMs, requests)) {
        nowMs[0] = arrival.atMs();
        while (!completions.isEmpty() && completions.peek().atMs() <= nowMs[0]) {
          Completion done = completions.poll();
          done.engine().onPromptDone(done.tokens());
          done.engine().onEnded();
        }
        report(engines, (long) nowMs[0]);
        EndpointSelector.Selection selection =
            selector
                .select(
                    engines,
                    new EndpointSelector.Demand(Optional.of(arrival.prompt()), true),
                    Set.of())
                .orElseThrow();
        TrackedEndpoint engine = selection.endpoint();
        final boolean unloaded = engine.isUnloaded((long) nowMs[0]);
        long uncached = arrival.prompt().tokens() - engine.cachedTokens(arrival.prompt());
        engine.onSent(selection.uncachedTokens(), (long) nowMs[0]);
        engine.recordPrompt(arrival.prompt());
        double startMs = Math.max(nowMs[0], freeAtMs.getOrDefault(engine, 0.0));
        freeAtMs.put(engine, startMs + uncached / tokensPerMs);
        double firstByteMs = startMs + uncached / tokensPerMs + FIRST_EVENT_MS - nowMs[0];
        if (unloaded) {
          measured.onFirstEvent(selection.uncachedTokens(), firstByteMs);
        }
        completions.add(new Completion(nowMs[0] + firstByteMs, engine, selection.uncachedTokens()));
        sumMs += firstByteMs;
      }
      return sumMs / requests;
    }

    private void report(List<TrackedEndpoint> engines, long nowMs) {
      for (TrackedEndpoint engine : engines) {
        if (!engine.hasReport(nowMs) || engine.reportAgeMs(nowMs) > 300) {
          engine.onReport(new EngineReport(0, engine.inFlight(), 1), nowMs);
        }
      }
    }

    private List<TrackedEndpoint> engines() {
      List<TrackedEndpoint> engines = new ArrayList<>();
      for (int i = 0; i < ENGINES; i++) {
        engines.add(
            new TrackedEndpoint(
                new ListedEndpoint(
                    "e" + i, "service", "10.0.0.1:80", "zone-a", "v1", 32, false, 1)));
      }
      return engines;
    }

    /** Returns requests of 40 sessions that keep the engines busy for about half of the time. */
    private List<Arrival> arrivals(double tokensPerMs, int requests) {
      Random random = new Random(5);
      List<Arrival> arrivals = new ArrayList<>();
      double atMs = 20_000;
      for (int i = 0; i < requests; i++) {
        atMs += -Math.log(1 - random.nextDouble()) * 5_000 / tokensPerMs / ENGINES / 0.5;
        PromptPart session = new PromptPart("session-" + random.nextInt(40), 4_000);
        PromptPart own = new PromptPart("own-" + i, 500 + random.nextInt(5_000));
        arrivals.add(
            new Arrival(atMs, new Prompt(4_000 + own.tokens(), 100, List.of(session, own))));
      }
      return arrivals;
    }

    private record KnownSpeed(double tokensPerMs) implements EngineSpeed {

      @Override
      public double prefillMs(double tokens) {
        return tokens / tokensPerMs;
      }

      @Override
      public double firstEventMs() {
        return FIRST_EVENT_MS;
      }

      @Override
      public double outputTokenMs() {
        return 0.2;
      }

      @Override
      public double streamSlotMs() {
        return 1_500;
      }

      @Override
      public double plainCallMs() {
        return 40;
      }
    }
  }
}
