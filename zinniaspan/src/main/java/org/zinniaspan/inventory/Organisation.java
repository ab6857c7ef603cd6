package org.zinniaspan.inventory;

/**
 * A customer, identified by its key.
 *
 * @param name unique name
 * @param keySha256 SHA-256 of its key, in lower-case hexadecimal
 * @param weight relative share among the organisations within a tier; 1 by default
 * @param homeZone availability zone in which its non-idempotent calls run; empty for any that hosts
 *     the service
 */
public record Organisation(String name, String keySha256, int weight, String homeZone) {

  /** Applies the defaults of absent fields. */
  public Organisation {
    weight = weight == 0 ? 1 : weight;
    homeZone = homeZone == null ? "" : homeZone;
  }
}
