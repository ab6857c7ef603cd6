package org.zinniaspan.routing;

import java.util.List;
import java.util.function.Supplier;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.Inventory;

/** The inventory's endpoints of one availability zone, cached until the inventory changes. */
final class ZoneEndpoints {

  private record Selection(Inventory inventory, List<Endpoint> endpoints) {}

  private final String zone;
  private final Supplier<Configuration> configuration;
  private volatile Selection selection = new Selection(new Inventory(null, null, null), List.of());

  ZoneEndpoints(String zone, Supplier<Configuration> configuration) {
    this.zone = zone;
    this.configuration = configuration;
  }

  /** Returns the endpoints in inventory order. */
  List<Endpoint> list() {
    Inventory current = configuration.get().inventory();
    Selection cached = selection;
    if (cached.inventory() != current) {
      cached = new Selection(current, select(current));
      selection = cached;
    }
    return cached.endpoints();
  }

  private List<Endpoint> select(Inventory inventory) {
    return inventory.endpoints().stream().filter(endpoint -> endpoint.zone().equals(zone)).toList();
  }
}
