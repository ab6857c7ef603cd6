package org.zinniaspan.membership;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Measurements of the failure detector for one number of VMs, on a virtual network.
 *
 * @param vms VMs in the availability zone
 * @param bytesPerSecond bytes sent per VM and second, including 40 bytes of overhead per packet
 * @param detectionMs time until no view contains a killed VM
 * @param falseSuspicions running VMs missing from views, summed over samples every 250 ms in 2
 *     minutes with 20% packet loss
 * @param healingMs time until all views agree after a 30 s network partition into two halves
 */
record GossipMeasurement(
    int vms, double bytesPerSecond, long detectionMs, int falseSuspicions, long healingMs) {

  private static final long STEADY_MS = 60_000;
  private static final long LOSS_MS = 120_000;
  private static final long SAMPLE_MS = 250;

  /**
   * Returns the numbers of VMs to measure; override with for example {@code -Dgossip.sizes=2,93}.
   */
  static IntStream sizes() {
    String sizes = System.getProperty("gossip.sizes", "2,4,8,16");
    return Arrays.stream(sizes.split(",")).mapToInt(Integer::parseInt);
  }

  static GossipMeasurement of(int count, long seed) {
    GossipFleet fleet = new GossipFleet(count, seed);
    fleet.network.advance(20_000);
    fleet.sentBytes = 0;
    fleet.network.advance(STEADY_MS);
    final double bytesPerSecond = fleet.sentBytes * 1_000.0 / STEADY_MS / count;
    final int suspicions = underLoss(fleet);
    fleet.kill(GossipFleet.name(count - 1));
    long detectionMs = fleet.convergenceMs(30_000);
    return new GossipMeasurement(count, bytesPerSecond, detectionMs, suspicions, healing(fleet));
  }

  private static int underLoss(GossipFleet fleet) {
    int suspicions = 0;
    fleet.network.setFaultRates(0.2, 0.0);
    for (long ms = 0; ms < LOSS_MS; ms += SAMPLE_MS) {
      fleet.network.advance(SAMPLE_MS);
      suspicions += fleet.missingCount();
    }
    fleet.network.setFaultRates(0.0, 0.0);
    fleet.network.advance(5_000);
    return suspicions;
  }

  private static long healing(GossipFleet fleet) {
    List<String> names = List.copyOf(fleet.vms.keySet());
    int half = names.size() / 2;
    for (String a : names.subList(0, half)) {
      names.subList(half, names.size()).forEach(b -> fleet.network.partition(a, b));
    }
    fleet.network.advance(30_000);
    fleet.network.healPartitions();
    return fleet.convergenceMs(30_000);
  }
}
