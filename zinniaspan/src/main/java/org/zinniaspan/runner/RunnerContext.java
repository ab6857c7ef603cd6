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
 * Dependencies and settings that the call runners share.
 *
 * <p>Example: {@code RunnerContext.of(self,
 * zone).configuration(store::current).link(transport)...}.
 */
public final class RunnerContext {

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

  private RunnerContext(Member self, String zone) {
    this.self = self;
    this.zone = zone;
  }

  /** Creates a context for this process in its availability zone; the setters supply the rest. */
  public static RunnerContext of(Member self, String zone) {
    return new RunnerContext(self, zone);
  }

  /** Sets the supplier of the configuration in force. */
  public RunnerContext configuration(Supplier<Configuration> value) {
    configuration = value;
    return this;
  }

  /** Sets the link to other VMs. */
  public RunnerContext link(PeerLink value) {
    link = value;
    return this;
  }

  /** Sets the service that grants slots and the sender of calls. */
  public RunnerContext slotsAndSender(SlotService slotService, CallSender callSender) {
    slots = slotService;
    sender = callSender;
    return this;
  }

  /** Sets the source of time. */
  public RunnerContext clock(Clock value) {
    clock = value;
    return this;
  }

  /**
   * Sets the supplier of the time, in milliseconds, at which the platform last confirmed the list
   * in force. By default the platform never confirmed it, and contact with the other voters alone
   * shows that the list is current.
   */
  public RunnerContext listConfirmedMs(LongSupplier value) {
    listConfirmedMs = value;
    return this;
  }

  /** Sets timeouts, limits and the seed of random delays. */
  public RunnerContext settings(AtMostOnceSettings value, long seed) {
    settings = value;
    random = new Random(seed);
    return this;
  }

  /** Returns the voters of this zone according to the list in force, cached by its revision. */
  VoterList voters() {
    Configuration current = configuration.get();
    long revision = current.revision(DocumentName.VMS);
    VoterList known = voters;
    if (known == null || known.revision() != revision) {
      long startedMs = self.incarnation();
      known = VoterList.of(current.vms(), zone, revision, startedMs, settings.horizonMs());
      voters = known;
    }
    return known;
  }

  Optional<Endpoint> endpoint(String name) {
    return configuration.get().inventory().endpoint(name);
  }
}
