package org.zinniaspan.configuration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.zinniaspan.membership.Member;

/**
 * Tests membership and configuration feed of two availability zones under random sequences of
 * faults: revisions never decrease, and all VMs converge after the faults end.
 *
 * <p>{@code -Dfuzz.rounds=N} runs each sequence with N seeds of the network; the default is 1.
 */
class FeedFuzzTest {

  private static final int ROUNDS = Integer.getInteger("fuzz.rounds", 1);

  /** Maximum time from the end of all faults until all VMs agree, in milliseconds. */
  private static final long CONVERGENCE_LIMIT_MS = 15_000;

  private static final List<DocumentName> OPERATOR_DOCUMENTS =
      List.of(DocumentName.INVENTORY, DocumentName.ORGANISATIONS, DocumentName.RULES);

  enum Kind {
    PUBLISH,
    PUBLISH_TWO,
    PUBLISH_LARGE,
    PUBLISH_INVALID,
    PLATFORM_DOWN,
    PLATFORM_STALE,
    PLATFORM_SNAPSHOT,
    PLATFORM_ROLLBACK,
    PLATFORM_HEAL,
    LOSS,
    DELAY,
    CUT_ZONES,
    CUT_VM,
    HEAL,
    PAUSE,
    RESUME,
    KILL,
    RESTART,
    START_NEW_VM,
    LEAVE
  }

  record Operation(Kind kind, int number, int waitMs) {}

  @Provide
  Arbitrary<List<Operation>> operations() {
    return Combinators.combine(
            Arbitraries.of(Kind.class),
            Arbitraries.integers().between(0, 999),
            Arbitraries.integers().between(0, 4_000))
        .as(Operation::new)
        .list()
        .ofMinSize(5)
        .ofMaxSize(40);
  }

  @Property(tries = 60, seed = "20261203", shrinking = ShrinkingMode.BOUNDED)
  void revisionsOnlyRiseAndAllVmsConverge(
      @ForAll("operations") List<Operation> operations,
      @ForAll("sizes") int inA,
      @ForAll("sizes") int inB) {
    for (int round = 1; round <= ROUNDS; round++) {
      FeedFleet fleet = new FeedFleet(inA, inB, round);
      operations.forEach(operation -> run(fleet, operation));
      check(fleet);
    }
  }

  @Provide
  Arbitrary<Integer> sizes() {
    return Arbitraries.integers().between(2, 4);
  }

  private static void run(FeedFleet fleet, Operation operation) {
    String vm = fleet.names().get(operation.number() % fleet.names().size());
    String zone = FeedFleet.ZONES.get(operation.number() % 2);
    switch (operation.kind()) {
      case PUBLISH -> fleet.publishRules(10);
      case PUBLISH_TWO -> {
        fleet.publishRules(10);
        fleet.network.advance(operation.number() % 5);
        fleet.publishRules(10);
        fleet.platform.publish(DocumentName.INVENTORY, "{}", true);
      }
      case PUBLISH_LARGE -> fleet.publishRules(150_000);
      case PUBLISH_INVALID -> {
        DocumentName name = OPERATOR_DOCUMENTS.get(operation.number() % OPERATOR_DOCUMENTS.size());
        fleet.platform.publish(name, "{\"none\":", false);
      }
      case PLATFORM_DOWN -> fleet.platform.setDown(zone, true);
      case PLATFORM_STALE -> fleet.platform.makeStale(zone);
      case PLATFORM_SNAPSHOT -> fleet.platform.saveSnapshot();
      case PLATFORM_ROLLBACK -> fleet.platform.rollBack(zone);
      case PLATFORM_HEAL -> fleet.platform.heal(zone);
      case LOSS -> fleet.network.setFaultRates(operation.number() % 40 / 100.0, 0.05);
      case DELAY -> fleet.network.setDelays(1, 1 + operation.number() % 400);
      case CUT_ZONES -> cutZones(fleet);
      case CUT_VM -> fleet.names().forEach(other -> fleet.network.partition(vm, other));
      case HEAL -> fleet.network.healPartitions();
      case PAUSE -> fleet.network.pause(vm);
      case RESUME -> fleet.network.resume(vm);
      case KILL -> fleet.kill(vm);
      case RESTART -> fleet.start(vm);
      case START_NEW_VM -> {
        String name = zone + "-" + (5 + operation.number() % 3);
        fleet.start(name);
        fleet.publishVms();
      }
      case LEAVE -> {
        if (fleet.vms.containsKey(vm)) {
          fleet.vms.get(vm).membership().leave();
        }
      }
      default -> throw new IllegalStateException("unknown operation " + operation);
    }
    fleet.network.advance(operation.waitMs());
  }

  private static void cutZones(FeedFleet fleet) {
    for (String a : fleet.names()) {
      for (String b : fleet.names()) {
        if (a.charAt(0) != b.charAt(0)) {
          fleet.network.partition(a, b);
        }
      }
    }
  }

  private static void check(FeedFleet fleet) {
    fleet.platform.heal();
    fleet.network.healPartitions();
    fleet.network.setFaultRates(0, 0);
    fleet.network.setDelays(1, 3);
    fleet.names().forEach(fleet.network::resume);
    long tookMs = fleet.until(() -> fleet.isInForce() && fleet.viewsAgree(), CONVERGENCE_LIMIT_MS);
    assertThat(fleet.violations).isEmpty();
    assertWithMessage("after %s ms: %s", tookMs, fleet.state()).that(fleet.isInForce()).isTrue();
    assertWithMessage("views agree after %s ms", tookMs).that(fleet.viewsAgree()).isTrue();
    fleet.vms.values().forEach(vm -> checkOwner(fleet, vm));
  }

  private static void checkOwner(FeedFleet fleet, FeedFleet.Vm vm) {
    boolean someStay =
        fleet.ofZone(vm.zone()).stream().anyMatch(other -> !other.membership().self().leaving());
    for (int i = 0; i < 20; i++) {
      Member owner = vm.membership().ownerOf("role-" + new Random(i).nextInt());
      assertThat(owner.leaving() && someStay).isFalse();
    }
  }
}
