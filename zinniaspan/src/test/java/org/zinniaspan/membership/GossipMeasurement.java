package org.zinniaspan.membership;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Figures of the failure detector by number of VMs, on a virtual network.
 *
 * @param vms VMs in the availability zone
 * @param bytesPerSecond sent by a VM, with 40 bytes for each packet
 * @param detectionMs until all views lack a killed VM
 * @param falseSuspicions views that lacked a running VM, over 2 minutes with 20% of loss
 * @param healingMs until all views agree after a cut in two halves of 30 s
 */
record GossipMeasurement(
    int vms, double bytesPerSecond, long detectionMs, int falseSuspicions, long healingMs) {

  private static final long STEADY_MS = 60_000;
  private static final long LOSS_MS = 120_000;
  private static final long SAMPLE_MS = 250;

  /** Returns the sizes to measure; {@code -Dgossip.sizes=2,93} sets others. */
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
