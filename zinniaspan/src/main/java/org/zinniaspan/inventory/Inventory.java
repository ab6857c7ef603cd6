package org.zinniaspan.inventory;

import java.util.List;
import java.util.Optional;

/**
 * The regions, models and endpoints from the operators' asset register.
 *
 * @param regions regions and their availability zones
 * @param models models that engines can serve
 * @param endpoints engines and plain services
 */
public record Inventory(List<Region> regions, List<Model> models, List<Endpoint> endpoints) {

  /** Replaces absent lists by empty ones. */
  public Inventory {
    regions = regions == null ? List.of() : List.copyOf(regions);
    models = models == null ? List.of() : List.copyOf(models);
    endpoints = endpoints == null ? List.of() : List.copyOf(endpoints);
  }

  /** Returns the region that contains an availability zone. */
  public Optional<Region> regionOf(String zone) {
    return regions.stream().filter(region -> region.zones().contains(zone)).findFirst();
  }

  /** Returns the endpoint of the given name. */
  public Optional<Endpoint> endpoint(String name) {
    return endpoints.stream().filter(endpoint -> endpoint.name().equals(name)).findFirst();
  }

  /** Returns whether a model of the given name is listed. */
  public boolean hasModel(String name) {
    return models.stream().anyMatch(model -> model.name().equals(name));
  }

  /** Returns whether any endpoint serves the plain service of the given name. */
  public boolean hasService(String name) {
    return endpoints.stream().anyMatch(endpoint -> endpoint.serves(Pool.service(name)));
  }
}
