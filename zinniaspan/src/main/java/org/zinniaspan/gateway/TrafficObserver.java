package org.zinniaspan.gateway;

import org.zinniaspan.inventory.ServiceClass;
import org.zinniaspan.request.Outcome;

/** Is told how each request ended. */
public interface TrafficObserver {

  /**
   * A delivered answer.
   *
   * @param firstTokenMs milliseconds from arrival to the first token
   * @param worstGapMs longest time between two tokens, in milliseconds
   * @param totalMs milliseconds from arrival to the end
   * @param tokens tokens delivered
   */
  record Delivery(long firstTokenMs, long worstGapMs, long totalMs, int tokens) {

    /** Returns whether the class's latency targets were met. */
    public boolean attains(ServiceClass serviceClass) {
      long spanMs = totalMs - firstTokenMs;
      boolean paced =
          serviceClass.tokenTargetMs() == 0
              || tokens < 2
              || spanMs <= serviceClass.tokenTargetMs() * (tokens - 1);
      boolean completed =
          serviceClass.completionTargetMs() == 0 || totalMs <= serviceClass.completionTargetMs();
      return firstTokenMs <= serviceClass.firstTokenTargetMs() && paced && completed;
    }
  }

  /** The whole answer was delivered. */
  void delivered(ServiceClass serviceClass, Delivery delivery);

  /** The request ended without a whole answer. */
  void ended(ServiceClass serviceClass, Outcome outcome);

  /** Tokens were generated for nobody. */
  void wasted(ServiceClass serviceClass, int tokens);
}
