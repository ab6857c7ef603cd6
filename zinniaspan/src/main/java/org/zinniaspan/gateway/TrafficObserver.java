package org.zinniaspan.gateway;

import org.zinniaspan.inventory.ServiceClass;
import org.zinniaspan.request.Outcome;

/** Listener for the results of requests. */
public interface TrafficObserver {

  /**
   * Timing and size of a delivered response.
   *
   * @param firstTokenMs time from arrival to the first token, in milliseconds
   * @param maxTokenGapMs longest time between two consecutive tokens, in milliseconds
   * @param totalMs time from arrival to the end of the response, in milliseconds
   * @param tokens number of tokens delivered
   */
  record Delivery(long firstTokenMs, long maxTokenGapMs, long totalMs, int tokens) {

    /** Returns whether the delivery met all latency targets of its service class. */
    public boolean meetsTargets(ServiceClass serviceClass) {
      long generationMs = totalMs - firstTokenMs;
      boolean meetsTokenTarget =
          serviceClass.tokenTargetMs() == 0
              || tokens < 2
              || generationMs <= serviceClass.tokenTargetMs() * (tokens - 1);
      boolean meetsCompletionTarget =
          serviceClass.completionTargetMs() == 0 || totalMs <= serviceClass.completionTargetMs();
      return firstTokenMs <= serviceClass.firstTokenTargetMs()
          && meetsTokenTarget
          && meetsCompletionTarget;
    }
  }

  /** Called when a complete response was delivered. */
  void onDelivered(ServiceClass serviceClass, Delivery delivery);

  /** Called when a request ended without a complete response. */
  void onEnded(ServiceClass serviceClass, Outcome outcome);

  /** Called when tokens were generated but not delivered as part of a complete response. */
  void onTokensWasted(ServiceClass serviceClass, int tokens);
}
