package org.zinniaspan.standins.choice;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.zinniaspan.dispatch.LeaseRequest;
import org.zinniaspan.dispatch.LeaseResponse;
import org.zinniaspan.dispatch.SlotUse;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.inventory.ServiceClass;

/**
 * One simulated request with its retries and, if hedging is on, one hedge.
 *
 * <p>Retries and hedges draw on the retry budget, and a request has at most 3 retries. A retry is
 * exempt from both limits if the engine is down and had sent no token.
 */
final class SimulatedRequest {

  private static final int MAX_RETRIES = 3;
  private static final double CONNECT_TIMEOUT_MS = 500;
  private static final double HEDGE_DELAY_QUANTILE = 0.95;

  /** Shortest slot deadline of a retry or hedge, even if its first-token target has passed. */
  private static final long MIN_RETRY_DEADLINE_MS = 2_000;

  private final ChoiceSimulation simulation;
  private final RequestGenerator.RequestSpec spec;
  private final String id;
  private final double arrivedMs;
  private final Set<String> excluded = new HashSet<>();
  private final Set<SimulatedAttempt> running = new LinkedHashSet<>();
  private int attempts;
  private int retries;
  private int deliveredTokens;
  private double firstTokenMs;
  private boolean ended;

  SimulatedRequest(ChoiceSimulation simulation, RequestGenerator.RequestSpec spec, String id) {
    this.simulation = simulation;
    this.spec = spec;
    this.id = id;
    this.arrivedMs = nowMs();
  }

  double nowMs() {
    return simulation.scheduler().exactNowMs();
  }

  int prefixId() {
    return spec.prefixId();
  }

  void release(String attemptId, SlotUse use) {
    simulation.slotService().release(attemptId, use);
  }

  /** Requests a slot for the next attempt. */
  void acquireSlot() {
    attempts++;
    String attemptId = id + "-" + attempts;
    ServiceClass serviceClass = spec.serviceClass();
    long deadlineMs = (long) arrivedMs + serviceClass.firstTokenTargetMs();
    LeaseRequest leaseRequest =
        new LeaseRequest(
            attemptId,
            Pool.model(ChoiceSimulation.MODEL),
            serviceClass,
            "organisation",
            (long) arrivedMs,
            attempts == 1
                ? deadlineMs
                : Math.max(deadlineMs, (long) nowMs() + MIN_RETRY_DEADLINE_MS),
            RequestGenerator.PROMPT_TOKENS,
            simulation
                .lengthEstimator()
                .expectedTokens(serviceClass.name(), "organisation", ChoiceSimulation.MODEL),
            spec.prefixDigests(),
            excluded,
            true);
    simulation
        .slotService()
        .acquire(leaseRequest, () -> {})
        .thenAccept(
            response ->
                simulation.scheduler().schedule(0, () -> onLeaseResponse(attemptId, response)));
  }

  private void onLeaseResponse(String attemptId, LeaseResponse response) {
    if (response instanceof LeaseResponse.Granted granted) {
      BatchingEngine engine = simulation.engine(granted.endpoint());
      SimulatedAttempt attempt =
          new SimulatedAttempt(this, attemptId, engine, nowMs(), spec.tokens() - deliveredTokens);
      send(attempt, engine);
    } else if (running.isEmpty()) {
      end(false);
    }
  }

  private void send(SimulatedAttempt attempt, BatchingEngine engine) {
    running.add(attempt);
    if (ended || (deliveredTokens > 0 && running.size() > 1)) {
      cancelDuplicate(attempt);
    } else if (engine.isDown()) {
      simulation.scheduler().schedule(CONNECT_TIMEOUT_MS, attempt::onUnreachable);
    } else {
      engine.accept(attempt);
      scheduleHedge(attempt);
    }
  }

  /** Schedules a hedge after the 95th percentile of the class's first-token latency. */
  private void scheduleHedge(SimulatedAttempt attempt) {
    Optional<Double> delayMs =
        simulation.firstTokenLatencies().quantile(className(), HEDGE_DELAY_QUANTILE);
    if (simulation.options().hedging() && attempts == 1 && delayMs.isPresent()) {
      simulation.scheduler().schedule(delayMs.get(), () -> hedge(attempt, delayMs.get()));
    }
  }

  /** Starts a second attempt on another engine if it may still meet the first-token target. */
  private void hedge(SimulatedAttempt attempt, double hedgeDelayMs) {
    double leftMs = arrivedMs + spec.serviceClass().firstTokenTargetMs() - nowMs();
    boolean targetReachable = leftMs > hedgeDelayMs / 2;
    if (running.contains(attempt)
        && deliveredTokens == 0
        && targetReachable
        && simulation.retryBudget().tryAcquire()) {
      excluded.add(attempt.engine().name());
      simulation.result().hedges++;
      acquireSlot();
    }
  }

  private String className() {
    return spec.serviceClass().name();
  }

  /** Delivers a token; the first one cancels all other attempts. */
  void onToken(SimulatedAttempt attempt) {
    if (deliveredTokens == 0) {
      simulation.firstTokenLatencies().add(className(), nowMs() - arrivedMs);
      firstTokenMs = nowMs() - arrivedMs;
      simulation.result().recordFirstToken(spec.serviceClass(), firstTokenMs);
      List.copyOf(running).stream()
          .filter(other -> other != attempt)
          .forEach(this::cancelDuplicate);
    }
    deliveredTokens++;
  }

  private void cancelDuplicate(SimulatedAttempt attempt) {
    running.remove(attempt);
    attempt.cancel();
    simulation.result().wastedPrompts++;
  }

  /** Retries the request on another engine, or ends it if no retry is allowed. */
  void onFailed(SimulatedAttempt attempt) {
    running.remove(attempt);
    if (ended || !running.isEmpty()) {
      return;
    }
    excluded.clear();
    excluded.add(attempt.engine().name());
    boolean exemptFromBudget = attempt.generatedTokens() == 0 && attempt.engine().isDown();
    if (exemptFromBudget || (retries < MAX_RETRIES && simulation.retryBudget().tryAcquire())) {
      retries += exemptFromBudget ? 0 : 1;
      simulation.result().retries++;
      acquireSlot();
    } else {
      end(false);
    }
  }

  /** Ends the request with a complete answer. */
  void onFinished() {
    simulation.retryBudget().onSuccess();
    simulation
        .lengthEstimator()
        .recordAnswer(className(), "organisation", ChoiceSimulation.MODEL, spec.tokens());
    end(true);
  }

  private void end(boolean answered) {
    if (!ended) {
      ended = true;
      simulation.result().recordEnd(spec.serviceClass(), answered, firstTokenMs);
    }
  }
}
