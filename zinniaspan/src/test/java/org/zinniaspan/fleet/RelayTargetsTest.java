package org.zinniaspan.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.zinniaspan.forwarding.HomeRegions;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.forwarding.ZoneCosts;

class RelayTargetsTest {

  private static final PlatformBounds BOUNDS =
      new PlatformBounds(2_500, 5_000, 2_500, 1_200, 8_000, 0.2, 54, 10_000);

  private final FleetSimulation fleet = FleetSimulation.fleet(1, BOUNDS, 9, 3);
  private final FleetSimulation.Vm self = fleet.vms.get("vm-000");
  private final RelayTargets targets =
      new RelayTargets(
          self.members,
          new ZoneCosts("zone-0", Map.of("zone-0", "west", "zone-1", "east", "zone-2", "west")),
          self::steadyMs,
          new Random(1));

  @BeforeEach
  void start() {
    fleet.advance(8_000);
  }

  private Set<String> chosen(Set<String> excluded) {
    Set<String> chosen = new HashSet<>();
    for (int i = 0; i < 50; i++) {
      targets.choose(excluded, HomeRegions.ALL).ifPresent(chosen::add);
    }
    return chosen;
  }

  @Test
  void areTheOtherVmsOfTheZone() {
    assertThat(chosen(Set.of())).containsExactly("vm-003", "vm-006");
  }

  @Test
  void areThoseOfTheNearestZoneIfNoneOfTheOwnIsLeft() {
    assertThat(chosen(Set.of("vm-003", "vm-006"))).containsExactly("vm-002", "vm-005", "vm-008");
  }

  @Test
  void areOutsideOfTheHomesOnlyVmsOfThisRegion() {
    Set<String> own = Set.of("vm-003", "vm-006");
    Set<String> region = Set.of("vm-002", "vm-003", "vm-005", "vm-006", "vm-008");
    assertThat(targets.choose(own, HomeRegions.NONE)).isPresent();
    assertThat(targets.choose(region, HomeRegions.NONE)).isEmpty();
    assertThat(targets.choose(region, HomeRegions.of(Set.of("west")))).isEmpty();
    assertThat(targets.choose(region, HomeRegions.of(Set.of("east")))).isPresent();
  }

  @Test
  void areNoVmsThatFailedShortlyBefore() {
    targets.suspect("vm-003");
    assertThat(chosen(Set.of())).containsExactly("vm-006");
    fleet.advance(2_500);
    assertThat(chosen(Set.of())).containsExactly("vm-003", "vm-006");
  }

  @Test
  void areNoneIfThisVmIsAlone() {
    List.copyOf(fleet.vms.keySet()).stream()
        .filter(vm -> !vm.equals("vm-000"))
        .forEach(fleet::kill);
    fleet.advance(10_000);
    assertThat(targets.choose(Set.of(), HomeRegions.ALL)).isEqualTo(Optional.empty());
  }
}
