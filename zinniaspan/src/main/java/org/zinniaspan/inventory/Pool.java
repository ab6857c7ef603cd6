package org.zinniaspan.inventory;

/**
 * The endpoints that can serve one model or one plain service.
 *
 * @param kind kind of the endpoints in the pool
 * @param name name of the model or service
 */
public record Pool(EndpointKind kind, String name) {

  private static final String ENGINE_PREFIX = "model/";
  private static final String SERVICE_PREFIX = "service/";

  /** Returns the pool of a model. */
  public static Pool model(String name) {
    return new Pool(EndpointKind.ENGINE, name);
  }

  /** Returns the pool of a plain service. */
  public static Pool service(String name) {
    return new Pool(EndpointKind.SERVICE, name);
  }

  /**
   * Parses a pool id as returned by {@link #id}.
   *
   * @throws IllegalArgumentException if the id has neither prefix
   */
  public static Pool parse(String id) {
    if (id.startsWith(ENGINE_PREFIX)) {
      return model(id.substring(ENGINE_PREFIX.length()));
    }
    if (id.startsWith(SERVICE_PREFIX)) {
      return service(id.substring(SERVICE_PREFIX.length()));
    }
    throw new IllegalArgumentException(
        "pool id '" + id + "' does not start with 'model/' or 'service/'");
  }

  /** Returns the id of this pool in the peer protocol. */
  public String id() {
    return switch (kind) {
      case ENGINE -> ENGINE_PREFIX + name;
      case SERVICE -> SERVICE_PREFIX + name;
    };
  }
}
