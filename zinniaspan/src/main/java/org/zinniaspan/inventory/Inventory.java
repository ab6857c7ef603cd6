package org.zinniaspan.inventory;

import java.util.List;
import java.util.Optional;

/**
 * What the operators' asset register lists, without the organisations.
 *
 * @param regions regions and their availability zones
 * @param models models
 * @param endpoints engines and plain services
 */
public record Inventory(List<Region> regions, List<Model> models, List<Endpoint> endpoints) {

  /** Fills the defaults of absent lists. */
  public Inventory {
    regions = regions == null ? List.of() : List.copyOf(regions);
    models = models == null ? List.of() : List.copyOf(models);
    endpoints = endpoints == null ? List.of() : List.copyOf(endpoints);
  }

  /** Returns the region of an availability zone. */
  public Optional<Region> regionOf(String zone) {
    return regions.stream().filter(region -> region.zones().contains(zone)).findFirst();
  }

  /** Returns the endpoint of that name. */
  public Optional<Endpoint> endpoint(String name) {
    return endpoints.stream().filter(endpoint -> endpoint.name().equals(name)).findFirst();
  }

  /** Returns whether a model of that name is listed. */
  public boolean hasModel(String name) {
    return models.stream().anyMatch(model -> model.name().equals(name));
  }

  /** Returns whether any endpoint is a plain service of that name. */
  public boolean hasService(String name) {
    return endpoints.stream().anyMatch(endpoint -> endpoint.serves(Pool.service(name)));
  }
}
