package org.zinniaspan.placement;

import java.util.function.BooleanSupplier;
import org.zinniaspan.inventory.Endpoint;

/** Client that sends orders to engines. */
public interface OrderClient {

  /**
   * Sends an order once, without retries; blocks until the engine answers or a timeout passes.
   *
   * @param endpoint engine that receives the order
   * @param order order to send
   * @param stillValid checked after connecting, immediately before the first byte; if false,
   *     nothing is sent
   */
  OrderResult send(Endpoint endpoint, Order order, BooleanSupplier stillValid);
}
