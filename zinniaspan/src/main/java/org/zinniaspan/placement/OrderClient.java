package org.zinniaspan.placement;

import java.util.function.BooleanSupplier;
import org.zinniaspan.inventory.Endpoint;

/** Sends orders to engines. */
public interface OrderClient {

  /**
   * Sends an order once; blocks until the engine answers or a timeout passes.
   *
   * @param endpoint the engine
   * @param order the order
   * @param stillValid asked after connecting, as the last act before the first byte
   */
  OrderResult send(Endpoint endpoint, Order order, BooleanSupplier stillValid);
}
