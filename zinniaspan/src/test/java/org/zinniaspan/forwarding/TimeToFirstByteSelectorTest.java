package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TimeToFirstByteSelectorTest {

  private static final ZoneCosts ZONES =
      new ZoneCosts("zone-a", Map.of("zone-a", "west", "zone-b", "west", "zone-c", "east"));
  private static final EndpointSelector.Demand PLAIN_CALL =
      new EndpointSelector.Demand(Optional.empty(), false);

  private long nowMs = 1_000;

  private TimeToFirstByteSelector selector(long seed) {
    return new TimeToFirstByteSelector(
        () -> nowMs, ZONES, new StreamWork(() -> nowMs), new EngineSpeeds()::of, new Random(seed));
  }

  private static List<TrackedEndpoint> endpoints(String... zones) {
    List<TrackedEndpoint> result = new ArrayList<>();
    for (int i = 0; i < zones.length; i++) {
      result.add(
          new TrackedEndpoint(
              new ListedEndpoint("e" + i, "service", "10.0.0.1:80", zones[i], "v1", 64, false, 1)));
    }
    return result;
  }

  private static EndpointSelector.Demand chat(
      boolean tolerant, long unsharedTokens, PromptPart... shared) {
    List<PromptPart> parts = new ArrayList<>(List.of(shared));
    parts.add(new PromptPart("own" + unsharedTokens, unsharedTokens));
    long tokens = parts.stream().mapToLong(PromptPart::tokens).sum();
    return new EndpointSelector.Demand(Optional.of(new Prompt(tokens, 300, parts)), tolerant);
  }

  private static String id(Optional<EndpointSelector.Selection> selection) {
    return selection.orElseThrow().endpoint().listed().id();
  }

  @Nested
  class PlainServices {

    private final List<TrackedEndpoint> endpoints = endpoints("zone-a", "zone-b", "zone-c");

    @Test
    void preferTheEndpointOfTheSameZone() {
      assertThat(id(selector(1).select(endpoints, PLAIN_CALL, Set.of()))).isEqualTo("e0");
    }

    @Test
    void failOverToAnotherZone() {
      endpoints.get(0).onFailure(nowMs);
      assertThat(id(selector(1).select(endpoints, PLAIN_CALL, Set.of()))).isEqualTo("e1");
      nowMs += 20_000;
      assertThat(id(selector(1).select(endpoints, PLAIN_CALL, Set.of()))).isEqualTo("e0");
    }

    @Test
    void skipExcludedEndpoints() {
      assertThat(id(selector(1).select(endpoints, PLAIN_CALL, Set.of("e0", "e1")))).isEqualTo("e2");
      assertThat(selector(1).select(endpoints, PLAIN_CALL, Set.of("e0", "e1", "e2"))).isEmpty();
    }
  }

  @Nested
  class BurstOfLongPrompts {

    private final List<TrackedEndpoint> engines =
        endpoints("zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c");

    @Test
    void separatesTolerantAndStrictStreams() {
      TimeToFirstByteSelector selector = selector(1);
      Set<String> tolerant = new HashSet<>();
      Set<String> strict = new HashSet<>();
      for (int i = 0; i < 300; i++) {
        boolean isLong = i % 3 == 0;
        EndpointSelector.Demand demand = chat(isLong, isLong ? 9_000 : 700);
        EndpointSelector.Selection chosen =
            selector.select(engines, demand, Set.of()).orElseThrow();
        if (i >= 30) {
          (isLong ? tolerant : strict).add(chosen.endpoint().listed().id());
        }
        nowMs += 15;
      }
      Set<String> both = new HashSet<>(tolerant);
      both.retainAll(strict);
      assertThat(both.size()).isAtMost(1);
      assertThat(tolerant).isNotEmpty();
      assertThat(strict).isNotEmpty();
    }

    @Test
    void sendsOneSharedPartToTheSameEngineFromAllVms() {
      PromptPart common = new PromptPart("common", 500);
      PromptPart session = new PromptPart("session-7", 4_900);
      Set<String> homes = new HashSet<>();
      for (int vm = 0; vm < 9; vm++) {
        homes.add(id(selector(vm).select(engines, chat(true, 2_000, common, session), Set.of())));
      }
      assertThat(homes).hasSize(1);
    }

    @Test
    void sendsShortSharedPartsToTheSameEngineFromAllVms() {
      PromptPart common = new PromptPart("common-3", 340);
      Set<String> homes = new HashSet<>();
      for (int vm = 0; vm < 9; vm++) {
        homes.add(id(selector(vm).select(engines, chat(true, 1_400, common), Set.of())));
      }
      assertThat(homes).hasSize(1);
    }

    @Test
    void keepsTheHomeOfOneSharedPartWhenFewPromptsWaitThere() {
      PromptPart session = new PromptPart("session-7", 4_900);
      EndpointSelector.Demand demand = chat(true, 2_000, session);
      EndpointSelector.Selection home = selector(1).select(engines, demand, Set.of()).orElseThrow();
      home.endpoint().onSent(50_000, nowMs);
      assertThat(id(selector(1).select(engines, demand, Set.of())))
          .isEqualTo(home.endpoint().listed().id());
    }

    @Test
    void leavesTheHomeOfOneSharedPartWhenManyPromptsWaitThere() {
      PromptPart common = new PromptPart("common", 500);
      PromptPart session = new PromptPart("session-7", 4_900);
      EndpointSelector.Demand demand = chat(true, 2_000, common, session);
      EndpointSelector.Selection home = selector(1).select(engines, demand, Set.of()).orElseThrow();
      home.endpoint().onSent(300_000, nowMs);
      assertThat(id(selector(1).select(engines, demand, Set.of())))
          .isNotEqualTo(home.endpoint().listed().id());
    }
  }
}
