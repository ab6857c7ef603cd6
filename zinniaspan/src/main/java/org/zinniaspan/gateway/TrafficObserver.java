package org.zinniaspan.gateway;

import org.zinniaspan.inventory.ServiceClass;
import org.zinniaspan.request.Outcome;

/** Is told how each request ended. */
public interface TrafficObserver {

  /**
   * A delivered answer.
   *
   * @param firstTokenMs milliseconds from arrival to the first token
   * @param maxTokenGapMs longest time between two tokens, in milliseconds
   * @param totalMs milliseconds from arrival to the end
   * @param tokens tokens delivered
   */
  record Delivery(long firstTokenMs, long maxTokenGapMs, long totalMs, int tokens) {

    /** Returns whether the class's latency targets were met. */
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

  /** The whole answer was delivered. */
  void onDelivered(ServiceClass serviceClass, Delivery delivery);

  /** The request ended without a whole answer. */
  void onEnded(ServiceClass serviceClass, Outcome outcome);

  /** Tokens were generated for nobody. */
  void onTokensWasted(ServiceClass serviceClass, int tokens);
}
