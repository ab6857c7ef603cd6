package org.zinniaspan.runner;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.AfterContainer;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;

/**
 * Fuzz test of at-most-once execution: random calls, retries and faults in one availability zone,
 * checked against an oracle that counts how often the service ran each key.
 *
 * <p>{@code -Dfuzz.factor=20} makes 20 runs instead of one for each generated case.
 */
class AtMostOnceFuzzTest {

  static {
    Configurator.setLevel("zinniaspan", Level.WARN);
  }

  private static final int STEPS = 60;
  private static final long RETRY_WINDOW_MS =
      SimulatedZone.SETTINGS.horizonMs() - SimulatedZone.SETTINGS.maxListAgeMs();
  private static final Map<String, Integer> OUTCOMES = new HashMap<>();
  private static final int RUNS_PER_TRY = Integer.getInteger("fuzz.factor", 1);

  @Property(tries = 150, seed = "4041", shrinking = ShrinkingMode.OFF)
  void noKeyRunsTwiceAndNotRunKeysDidNotRun(
      @ForAll int seed, @ForAll @IntRange(min = 1, max = 5) int size) {
    for (int i = 0; i < RUNS_PER_TRY; i++) {
      FuzzRun run = new FuzzRun(size, seed * 1_000_003L + i);
      run.run();
      run.zone.attempts.forEach(attempt -> OUTCOMES.merge(attempt.label(), 1, Integer::sum));
    }
  }

  @Property(tries = 20, seed = "4042", shrinking = ShrinkingMode.OFF)
  void withoutFaultsEveryFirstAttemptIsAnsweredOnce(
      @ForAll int seed, @ForAll @IntRange(min = 1, max = 5) int size) {
    SimulatedZone zone = new SimulatedZone(size, seed);
    Random random = new Random(seed);
    List<String> names = new ArrayList<>(new java.util.TreeSet<>(zone.vms.keySet()));
    for (int i = 0; i < 50; i++) {
      String key = "key-" + random.nextInt(25);
      zone.call(names.get(random.nextInt(names.size())), key);
      zone.network.advance(random.nextInt(30));
    }
    zone.network.advance(5_000);
    zone.check("" + seed);
    for (SimulatedZone.Attempt attempt : zone.attempts) {
      assertWithMessage("seed %s %s", seed, attempt.result)
          .that(attempt.label())
          .isEqualTo("answered");
    }
  }

  @AfterContainer
  static void printOutcomes() {
    System.out.println("outcomes of attempts under faults: " + OUTCOMES);
  }

  /** One run of random actions on a simulated zone. */
  static final class FuzzRun {

    private final SimulatedZone zone;
    private final Random random;
    private final String label;
    private final Map<String, Long> firstAttemptMs = new HashMap<>();
    private final List<String> keys = new ArrayList<>();
    private final Set<String> paused = new HashSet<>();
    private final long startMs;
    private int nextVm = 100;
    private int earlyKills;

    FuzzRun(int size, long seed) {
      zone = new SimulatedZone(size, seed);
      random = new Random(seed);
      label = size + "/" + seed;
      startMs = zone.clock.nowMs();
    }

    void run() {
      zone.network.advance(500);
      for (int i = 0; i < STEPS; i++) {
        step();
        zone.network.advance(random.nextInt(10) == 0 ? random.nextInt(3_000) : random.nextInt(40));
        zone.check(label);
      }
      new ArrayList<>(paused).forEach(zone.network::resume);
      zone.network.healPartitions();
      zone.network.advance(60_000);
      zone.check(label);
    }

    private void step() {
      int action = random.nextInt(100);
      if (action < 20) {
        newKey();
      } else if (action < 55 && !keys.isEmpty()) {
        call(keys.get(keys.size() - 1 - random.nextInt(Math.min(3, keys.size()))));
      } else if (action < 62) {
        replace();
      } else if (action < 70) {
        pauseOrResume();
      } else if (action < 80) {
        cutOrHeal();
      } else if (action < 86) {
        publishOrTogglePlatformReads();
      } else if (action < 94) {
        changeFaultRates();
      } else {
        zone.network.advance(random.nextInt(3) == 0 ? 25_000 : 3_000);
      }
    }

    /** Makes a first call with a new key, which the caller chooses or a VM issues. */
    private void newKey() {
      SimulatedZone.Vm issuer = zone.vms.get(anyVm());
      boolean issued = random.nextInt(4) == 0 && !paused.contains(issuer.name);
      keys.add(issued ? issuer.runner.issueKey().orElseThrow() : "key-" + keys.size());
      call(keys.get(keys.size() - 1));
    }

    private String anyVm() {
      List<String> names = new ArrayList<>(new java.util.TreeSet<>(zone.vms.keySet()));
      return names.get(random.nextInt(names.size()));
    }

    private void call(String key) {
      long nowMs = zone.clock.nowMs();
      long first = firstAttemptMs.computeIfAbsent(key, k -> nowMs);
      if (nowMs - first <= RETRY_WINDOW_MS) {
        zone.call(anyVm(), key);
      }
    }

    /**
     * Kills a process and possibly starts another one, on the same VM or on a new VM that is listed
     * afterwards. Kills within the first retry horizon are limited to a minority of the voters.
     */
    private void replace() {
      String name = zone.listed.get(random.nextInt(zone.listed.size()));
      boolean early = zone.clock.nowMs() - startMs <= SimulatedZone.SETTINGS.horizonMs();
      if (early && ++earlyKills > (zone.listed.size() - 1) / 2) {
        return;
      }
      zone.kill(name);
      paused.remove(name);
      if (random.nextInt(3) == 0) {
        zone.start(name);
      } else if (zone.isListKnown()) {
        String fresh = "vm-" + nextVm++;
        zone.start(fresh);
        zone.listed.set(zone.listed.indexOf(name), fresh);
        zone.publish();
      }
    }

    private void pauseOrResume() {
      if (paused.isEmpty() || random.nextBoolean()) {
        String name = anyVm();
        zone.network.pause(name);
        paused.add(name);
      } else {
        paused.forEach(zone.network::resume);
        paused.clear();
      }
    }

    private void cutOrHeal() {
      if (random.nextInt(3) == 0) {
        zone.network.healPartitions();
      } else {
        zone.network.partition(anyVm(), anyVm());
      }
    }

    private void publishOrTogglePlatformReads() {
      zone.adoptionLagMs = random.nextInt(400);
      if (random.nextInt(3) == 0 && zone.isListKnown()) {
        zone.publish();
      } else {
        SimulatedZone.Vm vm = zone.vms.get(anyVm());
        vm.readsPlatform = !vm.readsPlatform;
      }
    }

    private void changeFaultRates() {
      zone.network.setFaultRates(random.nextInt(3) * 0.1, random.nextInt(3) * 0.1);
      zone.refusedPercent = random.nextInt(3) * 20;
      zone.notSentPercent = random.nextInt(3) * 10;
      zone.brokenPercent = random.nextInt(3) * 10;
      zone.serviceMs = random.nextInt(3) == 0 ? 2_000 : 5;
    }
  }
}
