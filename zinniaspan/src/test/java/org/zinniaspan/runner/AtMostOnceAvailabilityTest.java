package org.zinniaspan.runner;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.Test;

/**
 * Measures the share of first attempts that are refused or end with an unknown outcome under each
 * fault, for three designs: claims by majority vote, one runner selected by hashing, and issued
 * keys.
 *
 * <p>The zone has three VMs on virtual time. From the fault on, it gets 20 calls per second for 30
 * s, each at a VM that the load balancer considers healthy. The retry horizon is 20 s. The shares
 * are printed. The test asserts the guarantees of the runners in every scenario, and without a
 * fault that all calls with claims or issued keys are answered.
 */
class AtMostOnceAvailabilityTest {

  static {
    Configurator.setLevel("zinniaspan", Level.WARN);
  }

  private static final int CALLS = 600;
  private static final long CALL_PERIOD_MS = 50;
  private static final int SEEDS = 5;

  /** A fault, and the action that remedies it after {@code remedyAfterMs} milliseconds. */
  private record Scenario(
      String name,
      Consumer<SimulatedZone> fault,
      long remedyAfterMs,
      Consumer<SimulatedZone> remedy) {}

  private static final Consumer<SimulatedZone> NO_ACTION = zone -> {};

  private static final List<Scenario> SCENARIOS =
      List.of(
          new Scenario("no fault", NO_ACTION, 0, NO_ACTION),
          new Scenario("new list published, adopted within 2 s", adoptionLag(2_000), 0, publish()),
          new Scenario("one VM killed, replaced after 5 s", kill("vm-1"), 5_000, replace("vm-1")),
          new Scenario("one VM restarted in place", kill("vm-1"), 500, zone -> zone.start("vm-1")),
          new Scenario(
              "one VM paused for 5 s", zone -> zone.pause("vm-1"), 5_000, z -> z.resume("vm-1")),
          new Scenario("one VM partitioned for 5 s", cut("vm-1"), 5_000, SimulatedZone::heal),
          new Scenario(
              "all VMs partitioned from each other for 5 s",
              cut("vm-1", "vm-2"),
              5_000,
              SimulatedZone::heal),
          new Scenario(
              "two VMs killed, replaced after 5 s",
              kill("vm-1", "vm-2"),
              5_000,
              replace("vm-1", "vm-2")),
          new Scenario(
              "platform down, one VM killed", stopPlatformReadsAndKill("vm-1"), 0, NO_ACTION));

  private static Consumer<SimulatedZone> adoptionLag(long ms) {
    return zone -> zone.adoptionLagMs = ms;
  }

  private static Consumer<SimulatedZone> publish() {
    return SimulatedZone::publish;
  }

  private static Consumer<SimulatedZone> kill(String... names) {
    return zone -> List.of(names).forEach(zone::kill);
  }

  private static Consumer<SimulatedZone> replace(String... names) {
    return zone -> {
      for (String name : names) {
        zone.start("new-" + name);
        zone.listed.set(zone.listed.indexOf(name), "new-" + name);
      }
      zone.publish();
    };
  }

  private static Consumer<SimulatedZone> cut(String... names) {
    return zone -> {
      for (String name : names) {
        zone.listed.stream().filter(vm -> !vm.equals(name)).forEach(vm -> zone.cut(name, vm));
      }
    };
  }

  private static Consumer<SimulatedZone> stopPlatformReadsAndKill(String killed) {
    return zone -> {
      zone.vms.values().forEach(vm -> vm.readsPlatform = false);
      zone.kill(killed);
    };
  }

  /** Outcome counts of one scenario. */
  private static final class OutcomeCounts {
    private int claimsNotRun;
    private int claimsUnknown;
    private int issuedUnknown;
    private int hashedUnknown;
    private int calls;

    private String row(String name) {
      return "| %s | %s | %s | %s | %s |"
          .formatted(
              name,
              share(claimsNotRun),
              share(claimsUnknown),
              share(hashedUnknown),
              share(issuedUnknown));
    }

    private String share(int count) {
      return "%.1f%%".formatted(100.0 * count / calls);
    }
  }

  @Test
  void callsWithoutFaultAreAllAnswered() {
    System.out.println(
        "| fault | claims: not run | claims: unknown | hashed: unknown | issued: unknown |");
    System.out.println("|---|---|---|---|---|");
    for (Scenario scenario : SCENARIOS) {
      OutcomeCounts counts = new OutcomeCounts();
      for (int seed = 1; seed <= SEEDS; seed++) {
        runScenario(scenario, seed, counts);
      }
      System.out.println(counts.row(scenario.name()));
      if (scenario.name().equals("no fault")) {
        assertThat(counts.claimsNotRun + counts.claimsUnknown + counts.issuedUnknown).isEqualTo(0);
      }
    }
  }

  private static void runScenario(Scenario scenario, int seed, OutcomeCounts counts) {
    SimulatedZone zone = new SimulatedZone(3, seed);
    Random random = new Random(seed);
    zone.network.advance(SimulatedZone.SETTINGS.horizonMs() * 2);
    HashedRunnerModel hashed = new HashedRunnerModel(zone);
    hashed.observe();
    List<String> issuedKeys = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      issuedKeys.add(issueKey(zone, random));
    }
    scenario.fault().accept(zone);
    boolean remedied = false;
    for (int i = 0; i < CALLS; i++) {
      if (!remedied && i * CALL_PERIOD_MS >= scenario.remedyAfterMs()) {
        scenario.remedy().accept(zone);
        remedied = true;
      }
      issuedKeys.add(issueKey(zone, random));
      zone.call(healthyVm(zone, random), issuedKeys.get(i));
      String key = "key-" + i;
      String vm = healthyVm(zone, random);
      zone.call(vm, key);
      counts.hashedUnknown += hashed.isAnswered(vm, key) ? 0 : 1;
      counts.calls++;
      zone.network.advance(CALL_PERIOD_MS);
    }
    zone.network.advance(10_000);
    zone.check("" + seed);
    zone.attempts.forEach(attempt -> count(attempt, counts));
  }

  private static void count(SimulatedZone.Attempt attempt, OutcomeCounts counts) {
    boolean issued = attempt.key.startsWith("zk1:");
    String label = attempt.label();
    if (issued) {
      counts.issuedUnknown += label.equals("answered") ? 0 : 1;
    } else if (label.equals("not-run")) {
      counts.claimsNotRun++;
    } else if (!label.equals("answered")) {
      counts.claimsUnknown++;
    }
  }

  private static String healthyVm(SimulatedZone zone, Random random) {
    List<String> names = new ArrayList<>(new TreeSet<>(zone.vms.keySet()));
    names.removeIf(name -> zone.isPaused(name) || name.equals(SimulatedZone.OUTSIDE));
    names.removeIf(name -> !zone.hasList(name));
    return names.get(random.nextInt(names.size()));
  }

  private static String issueKey(SimulatedZone zone, Random random) {
    return zone.vms.get(healthyVm(zone, random)).runner.issueKey().orElseThrow();
  }
}
