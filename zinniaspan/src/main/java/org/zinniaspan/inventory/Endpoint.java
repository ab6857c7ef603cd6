package org.zinniaspan.inventory;

import java.util.List;

/**
 * A back end to which requests are routed.
 *
 * @param name unique name
 * @param kind engine or plain service
 * @param zone availability zone of the endpoint
 * @param address numeric host and port, for example {@code 10.0.0.7:8000}
 * @param models models that an engine may serve; empty for a plain service
 * @param service name of the plain service; empty for an engine
 * @param slots maximum number of concurrent requests
 * @param checksFencing whether it rejects orders with an outdated fencing number
 * @param memoryMb accelerator memory in megabytes; zero if not known
 */
public record Endpoint(
    String name,
    EndpointKind kind,
    String zone,
    String address,
    List<String> models,
    String service,
    int slots,
    boolean checksFencing,
    int memoryMb) {

  /** Number of slots of an endpoint for which the inventory gives none. */
  public static final int DEFAULT_SLOTS = 8;

  /** Applies the defaults of fields that are absent from the document. */
  public Endpoint {
    models = models == null ? List.of() : List.copyOf(models);
    service = service == null ? "" : service;
    slots = slots == 0 ? DEFAULT_SLOTS : slots;
  }

  /** Returns whether this endpoint belongs to the given pool. */
  public boolean serves(Pool pool) {
    return switch (pool.kind()) {
      case ENGINE -> models.contains(pool.name());
      case SERVICE -> service.equals(pool.name());
    };
  }
}
