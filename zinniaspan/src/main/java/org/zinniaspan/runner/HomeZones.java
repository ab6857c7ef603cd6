package org.zinniaspan.runner;

import java.util.List;
import java.util.Optional;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.inventory.Organisation;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.membership.RendezvousHash;

/** Selects the availability zone in which a call runs. */
final class HomeZones {

  private HomeZones() {}

  /**
   * Returns the home zone of a call, empty if no zone hosts the service.
   *
   * <p>All VMs select the same zone for a non-idempotent call: the organisation's home zone if it
   * hosts the service, otherwise one selected by rendezvous hashing of the organisation. Other
   * calls stay in the caller's zone {@code ownZone} if it hosts the service.
   */
  static Optional<String> of(ServiceCall call, String ownZone, Configuration configuration) {
    List<String> hosting =
        configuration.inventory().endpoints().stream()
            .filter(endpoint -> endpoint.serves(Pool.service(call.service())))
            .map(endpoint -> endpoint.zone())
            .distinct()
            .sorted()
            .toList();
    String preferred =
        call.serviceClass().nonIdempotent()
            ? configuration.organisation(call.organisation()).map(Organisation::homeZone).orElse("")
            : ownZone;
    if (hosting.contains(preferred)) {
      return Optional.of(preferred);
    }
    return RendezvousHash.ranked(call.organisation(), hosting, 1).stream().findFirst();
  }
}
