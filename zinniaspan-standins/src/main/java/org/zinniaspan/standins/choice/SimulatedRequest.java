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

/** One request with its retries and, if that is on, one hedge. */
final class SimulatedRequest {

  private static final int MOST_RETRIES = 3;
  private static final double CONNECT_TIMEOUT_MS = 500;
  private static final double HEDGE_RANK = 0.95;
  private static final long LATE_GRACE_MS = 2_000;

  private final Simulation world;
  private final Demand.Arrival arrival;
  private final String id;
  private final double arrivedMs;
  private final Set<String> excluded = new HashSet<>();
  private final Set<SimulatedAttempt> running = new LinkedHashSet<>();
  private int asks;
  private int retries;
  private int delivered;
  private boolean ended;

  SimulatedRequest(Simulation world, Demand.Arrival arrival, String id) {
    this.world = world;
    this.arrival = arrival;
    this.id = id;
    this.arrivedMs = nowMs();
  }

  double nowMs() {
    return world.timeline().exactMs();
  }

  int family() {
    return arrival.family();
  }

  void release(String attemptId, SlotUse use) {
    world.slots().release(attemptId, use);
  }

  void ask() {
    asks++;
    String attemptId = id + "-" + asks;
    ServiceClass c = arrival.serviceClass();
    long deadlineMs = (long) arrivedMs + c.firstTokenTargetMs();
    LeaseRequest ask =
        new LeaseRequest(
            attemptId,
            Pool.model(Simulation.MODEL),
            c,
            "organisation",
            (long) arrivedMs,
            asks == 1 ? deadlineMs : Math.max(deadlineMs, (long) nowMs() + LATE_GRACE_MS),
            Demand.PROMPT_TOKENS,
            world.estimates().expectedTokens(c.name(), "organisation", Simulation.MODEL),
            arrival.prefixDigests(),
            excluded,
            true);
    world
        .slots()
        .acquire(ask, () -> {})
        .thenAccept(answer -> world.timeline().after(0, () -> onAnswer(attemptId, answer)));
  }

  private void onAnswer(String attemptId, LeaseResponse answer) {
    if (answer instanceof LeaseResponse.Granted granted) {
      SimulatedEngine engine = world.engine(granted.endpoint());
      SimulatedAttempt attempt =
          new SimulatedAttempt(this, attemptId, engine, nowMs(), arrival.tokens() - delivered);
      send(attempt, engine);
    } else if (running.isEmpty()) {
      end(false);
    }
  }

  private void send(SimulatedAttempt attempt, SimulatedEngine engine) {
    running.add(attempt);
    if (ended || (delivered > 0 && running.size() > 1)) {
      drop(attempt);
    } else if (engine.isDead()) {
      world.timeline().after(CONNECT_TIMEOUT_MS, attempt::onUnreachable);
    } else {
      engine.accept(attempt);
      hedgeLater(attempt);
    }
  }

  private void hedgeLater(SimulatedAttempt attempt) {
    Optional<Double> delayMs = world.firstTokens().quantile(key(), HEDGE_RANK);
    if (world.options().hedging() && asks == 1 && delayMs.isPresent()) {
      world.timeline().after(delayMs.get(), () -> hedge(attempt, delayMs.get()));
    }
  }

  private void hedge(SimulatedAttempt attempt, double usualMs) {
    double leftMs = arrivedMs + arrival.serviceClass().firstTokenTargetMs() - nowMs();
    boolean reachable = leftMs > usualMs / 2;
    if (running.contains(attempt) && delivered == 0 && reachable && world.budget().tryAcquire()) {
      excluded.add(attempt.engine().name());
      world.result().hedges++;
      ask();
    }
  }

  private String key() {
    return arrival.serviceClass().name();
  }

  void onToken(SimulatedAttempt attempt) {
    if (delivered == 0) {
      world.firstTokens().add(key(), nowMs() - arrivedMs);
      world.result().firstToken(arrival.serviceClass(), nowMs() - arrivedMs);
      List.copyOf(running).stream().filter(other -> other != attempt).forEach(this::drop);
    }
    delivered++;
  }

  private void drop(SimulatedAttempt attempt) {
    running.remove(attempt);
    attempt.cancel();
    world.result().wastedPrompts++;
  }

  void onFailed(SimulatedAttempt attempt) {
    running.remove(attempt);
    if (ended || !running.isEmpty()) {
      return;
    }
    excluded.clear();
    excluded.add(attempt.engine().name());
    boolean free = attempt.tokens() == 0 && attempt.engine().isDead();
    if (free || (retries < MOST_RETRIES && world.budget().tryAcquire())) {
      retries += free ? 0 : 1;
      world.result().retries++;
      ask();
    } else {
      end(false);
    }
  }

  void onFinished() {
    world.budget().onSuccess();
    world.estimates().recordAnswer(key(), "organisation", Simulation.MODEL, arrival.tokens());
    end(true);
  }

  private void end(boolean answered) {
    if (!ended) {
      ended = true;
      world.result().ended(arrival.serviceClass(), answered, delivered);
    }
  }
}
