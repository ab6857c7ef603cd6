package org.zinniaspan.runner;

import java.util.Optional;
import java.util.Random;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.configuration.DocumentName;
import org.zinniaspan.dispatch.SlotService;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.membership.Member;
import org.zinniaspan.peer.PeerLink;

/**
 * What runners of calls need of the rest of the process.
 *
 * <p>Example: {@code RunnerPorts.of(self, zone).configuration(store::current).link(transport)...}.
 */
public final class RunnerPorts {

  final Member self;
  final String zone;
  Supplier<Configuration> configuration;
  PeerLink link;
  SlotService slots;
  CallSender sender;
  Clock clock;
  LongSupplier listConfirmedMs = () -> Long.MIN_VALUE / 2;
  AtMostOnceSettings settings = AtMostOnceSettings.DEFAULTS;
  Random random = new Random(1);

  private volatile VoterList voters;

  private RunnerPorts(Member self, String zone) {
    this.self = self;
    this.zone = zone;
  }

  /** Starts with the process and its availability zone. */
  public static RunnerPorts of(Member self, String zone) {
    return new RunnerPorts(self, zone);
  }

  /** Sets the configuration in force. */
  public RunnerPorts configuration(Supplier<Configuration> value) {
    configuration = value;
    return this;
  }

  /** Sets the link to other VMs. */
  public RunnerPorts link(PeerLink value) {
    link = value;
    return this;
  }

  /** Sets the lender of slots and the sender of calls. */
  public RunnerPorts endpoints(SlotService slotService, CallSender callSender) {
    slots = slotService;
    sender = callSender;
    return this;
  }

  /** Sets the source of time. */
  public RunnerPorts clock(Clock value) {
    clock = value;
    return this;
  }

  /**
   * Sets the time at which the platform last confirmed the list in force; by default it never did,
   * and the voters vouch for the list among themselves.
   */
  public RunnerPorts listConfirmedMs(LongSupplier value) {
    listConfirmedMs = value;
    return this;
  }

  /** Sets times, bounds and the seed of random delays. */
  public RunnerPorts settings(AtMostOnceSettings value, long seed) {
    settings = value;
    random = new Random(seed);
    return this;
  }

  /** Returns the voters of the own zone at the list in force. */
  VoterList voters() {
    Configuration now = configuration.get();
    long revision = now.revision(DocumentName.VMS);
    VoterList known = voters;
    if (known == null || known.revision() != revision) {
      long startedMs = self.incarnation();
      known = VoterList.of(now.vms(), zone, revision, startedMs, settings.horizonMs());
      voters = known;
    }
    return known;
  }

  Optional<Endpoint> endpoint(String name) {
    return configuration.get().inventory().endpoint(name);
  }
}
