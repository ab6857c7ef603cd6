package org.zinniaspan.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.zinniaspan.forwarding.AdmissionControl;
import org.zinniaspan.forwarding.EndpointBackoff;
import org.zinniaspan.forwarding.EndpointReachability;
import org.zinniaspan.forwarding.EndpointSelector;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.Prompt;
import org.zinniaspan.forwarding.Refusal;
import org.zinniaspan.forwarding.SendDecision;
import org.zinniaspan.forwarding.ServiceRetryBudget;
import org.zinniaspan.forwarding.TimeToFirstByteSelector;
import org.zinniaspan.forwarding.TrackedEndpoint;
import org.zinniaspan.forwarding.ZoneCosts;

/** The requests of one VM on virtual time, sent by the decisions of the forward path. */
final class SimulatedRouter {

  private static final int MAX_ATTEMPTS = 2;
  private static final long MAX_MESSAGE_MS = 9;
  private static final long NOT_RUN_RETRY_AFTER_MS = 400;
  private static final long MIN_TIME_FOR_RETRY_MS = 60;

  /** Output tokens that an event of a stream has. */
  private static final long EVENT_TOKENS = 9;

  /** A client attempt. */
  static final class Request {
    private final OverloadedFleet.Kind kind;
    private final Optional<Prompt> prompt;
    private final long firstMs;
    private final long arrivalMs;
    private final int triesLeft;
    private final String organisation;
    private final Set<String> tried = new HashSet<>();
    private int sends;
    private boolean mayHaveRun;
    private boolean started;
    private boolean finished;

    Request(
        OverloadedFleet.Kind kind,
        Optional<Prompt> prompt,
        String organisation,
        long nowMs,
        int tries) {
      this(kind, prompt, organisation, nowMs, nowMs, tries);
    }

    private Request(
        OverloadedFleet.Kind kind,
        Optional<Prompt> prompt,
        String organisation,
        long firstMs,
        long arrivalMs,
        int tries) {
      this.kind = kind;
      this.prompt = prompt;
      this.organisation = organisation;
      this.firstMs = firstMs;
      this.arrivalMs = arrivalMs;
      this.triesLeft = tries - 1;
    }

    private long deadlineMs() {
      return firstMs + kind.deadlineMs();
    }
  }

  private final OverloadedFleet world;
  private final FleetSimulation.Vm vm;
  private final EndpointBackoff backoff;
  private final EndpointReachability reachability;
  private final TimeToFirstByteSelector selector;
  private final AdmissionControl admission;
  private final Map<String, ServiceRetryBudget> budgets = new HashMap<>();
  private final List<Request> waiting = new ArrayList<>();

  SimulatedRouter(OverloadedFleet world, FleetSimulation.Vm vm) {
    this.world = world;
    this.vm = vm;
    Random random = new Random(world.random.nextLong());
    backoff = new EndpointBackoff(vm::steadyMs);
    reachability = new EndpointReachability(vm::steadyMs, random, vm.directory::size);
    Map<String, String> regions =
        world.fleet.zones.stream()
            .collect(Collectors.toMap(z -> z, z -> z.compareTo("zone-3") < 0 ? "west" : "east"));
    selector =
        new TimeToFirstByteSelector(
            vm::steadyMs, new ZoneCosts(vm.zone, regions), vm.work, vm.speeds::of, random);
    admission =
        new AdmissionControl(
            vm::steadyMs,
            random,
            world.sharesPressure ? Optional.of(vm.pressure) : Optional.empty());
    vm.slots.ifPresent(
        slots -> {
          slots.whenAssigned(this::sendWaiting);
          slots.useOnly(
              endpoint -> backoff.admits(endpoint) && reachability.isReachable(endpoint.id()));
        });
  }

  private ServiceRetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service, s -> new ServiceRetryBudget(vm::steadyMs, vm.bounds(), () -> 1));
  }

  void accept(Request request) {
    budget(request.kind.service()).onRequest();
    send(request);
  }

  /** Sends the requests that wait for room, and the probes that are due. */
  void tick() {
    for (ListedEndpoint probed : reachability.nextProbes(vm.directory::entries)) {
      OverloadedEndpoint endpoint = world.endpoint(probed.id());
      if (endpoint == null || endpoint.report() == null) {
        reachability.onConnectFailed(probed.id());
      } else {
        reachability.onConnected(probed.id());
      }
    }
    sendWaiting();
  }

  private void sendWaiting() {
    List<Request> due = new ArrayList<>(waiting);
    waiting.clear();
    due.sort(
        Comparator.<Request>comparingInt(request -> request.kind.rank())
            .thenComparingLong(request -> request.arrivalMs));
    due.forEach(this::send);
  }

  private void send(Request request) {
    if (vm.steadyMs() >= request.deadlineMs()) {
      fail(request);
      return;
    }
    SendDecision decision =
        SendDecision.of(
            vm.directory.ready(request.kind.service()),
            backoff,
            vm.endpoints.limits(),
            reachability);
    if (decision instanceof SendDecision.ToEndpoint endpoints) {
      sendToOne(request, endpoints.candidates());
    } else if (decision instanceof SendDecision.Paused paused) {
      awaitRoom(request, paused);
    } else {
      refuse(request, NOT_RUN_RETRY_AFTER_MS);
    }
  }

  private void awaitRoom(Request request, SendDecision.Paused paused) {
    long waitedMs = vm.steadyMs() - request.arrivalMs;
    double callMs =
        request.prompt.isEmpty() ? vm.speeds.of(request.kind.service()).plainCallMs() : 0;
    if (paused.limited() && waitedMs + paused.remainingMs() + callMs < request.kind.targetMs()) {
      waiting.add(request);
      vm.endpoints.limits().slots().onWaiting(request, request.kind.service(), request.kind.rank());
    } else {
      refuse(request, Math.max(NOT_RUN_RETRY_AFTER_MS, paused.remainingMs()));
    }
  }

  private void sendToOne(Request request, List<TrackedEndpoint> candidates) {
    EndpointSelector.Demand demand =
        new EndpointSelector.Demand(request.prompt, request.kind.tolerant());
    Optional<EndpointSelector.Selection> found = selector.select(candidates, demand, request.tried);
    if (found.isEmpty()) {
      refuse(request, NOT_RUN_RETRY_AFTER_MS);
      return;
    }
    EndpointSelector.Selection selection = found.get();
    Optional<Refusal> refusal = checkAdmission(request, selection);
    if (refusal.isPresent()) {
      refuse(request, refusal.get().retryAfterMs());
      return;
    }
    request.tried.add(selection.endpoint().listed().id());
    request.sends++;
    selection.endpoint().onSent(selection.uncachedTokens(), vm.steadyMs());
    request.prompt.ifPresent(selection.endpoint()::recordPrompt);
    reachability.onSent();
    vm.endpoints.limits().onSent(selection.endpoint().listed());
    Attempt attempt = new Attempt(request, selection);
    message(
        () -> {
          OverloadedEndpoint endpoint = world.endpoint(selection.endpoint().listed().id());
          if (endpoint == null) {
            attempt.onConnectFailed();
          } else {
            endpoint.offer(attempt);
          }
        });
  }

  private Optional<Refusal> checkAdmission(Request request, EndpointSelector.Selection selection) {
    if (request.prompt.isEmpty() || request.sends > 0) {
      return Optional.empty();
    }
    return admission.decide(admissionRequest(request), selection);
  }

  private AdmissionControl.Request admissionRequest(Request request) {
    return new AdmissionControl.Request(
        request.kind.rank(),
        request.kind.leastUrgent(),
        request.kind.tolerant(),
        request.kind.targetMs(),
        request.deadlineMs() - vm.steadyMs(),
        request.organisation,
        request.prompt.get().tokens(),
        request.arrivalMs > request.firstMs);
  }

  private void message(Runnable action) {
    world.fleet.at(1 + world.random.nextInt((int) MAX_MESSAGE_MS), action);
  }

  private void retryOrFail(Request request, boolean usesBudget) {
    boolean allowed =
        request.sends < MAX_ATTEMPTS
            && request.deadlineMs() - vm.steadyMs() >= MIN_TIME_FOR_RETRY_MS
            && (!usesBudget || budget(request.kind.service()).tryAcquire());
    if (allowed) {
      send(request);
    } else {
      fail(request);
    }
  }

  private void fail(Request request) {
    if (request.mayHaveRun || request.started) {
      finishFailed(request);
    } else {
      refuse(request, NOT_RUN_RETRY_AFTER_MS);
    }
  }

  private void finishFailed(Request request) {
    request.finished = true;
    if (request.kind.idempotent()) {
      retryByClient(request, NOT_RUN_RETRY_AFTER_MS);
    } else {
      world.tallies.get(request.kind).failed++;
    }
  }

  private void refuse(Request request, long retryAfterMs) {
    request.finished = true;
    retryByClient(request, retryAfterMs);
  }

  private void retryByClient(Request request, long afterMs) {
    long atMs = vm.steadyMs() + Math.min(afterMs, (request.deadlineMs() - vm.steadyMs()) / 3);
    if (request.triesLeft == 0 || atMs >= request.deadlineMs()) {
      world.tallies.get(request.kind).refused++;
      world.onNothing(request.kind, request.firstMs);
      return;
    }
    Request retry =
        new Request(
            request.kind,
            request.prompt,
            request.organisation,
            request.firstMs,
            atMs,
            request.triesLeft);
    world.fleet.at(Math.max(0, atMs - vm.steadyMs()), () -> world.submit(retry));
  }

  private final class Attempt implements OverloadedEndpoint.Job {
    private final Request request;
    private final EndpointSelector.Selection selection;
    private final TrackedEndpoint endpoint;
    private final ListedEndpoint listed;
    private final long sentMs = vm.steadyMs();
    private final boolean limitKnown;
    private boolean promptDone;
    private long firstEventMs;

    Attempt(Request request, EndpointSelector.Selection selection) {
      this.request = request;
      this.selection = selection;
      this.endpoint = selection.endpoint();
      this.listed = endpoint.listed();
      this.limitKnown = vm.endpoints.limits().rejections().appliesTo(listed);
    }

    @Override
    public Optional<Prompt> prompt() {
      return request.prompt;
    }

    @Override
    public double workMs() {
      return request.kind.workMs() * (0.5 + world.random.nextDouble());
    }

    @Override
    public int rank() {
      return request.kind.rank();
    }

    @Override
    public String sender() {
      return vm.address;
    }

    private void finish() {
      endpoint.onEnded();
      reachability.onEnded();
      promptDone();
    }

    private void promptDone() {
      if (!promptDone) {
        promptDone = true;
        endpoint.onPromptDone(selection.uncachedTokens());
      }
    }

    private void onHead(Optional<Integer> rejectionsPerSecond) {
      reachability.onConnected(listed.id());
      vm.endpoints.limits().onResponse(listed, Optional.empty(), rejectionsPerSecond);
    }

    @Override
    public void onConnectFailed() {
      message(
          () -> {
            finish();
            endpoint.onFailure(vm.steadyMs());
            reachability.onConnectFailed(listed.id());
            request.sends--;
            retryOrFail(request, false);
          });
    }

    @Override
    public void onRejected(Optional<Integer> rejectionsPerSecond) {
      message(
          () -> {
            if (rejectionsPerSecond.isPresent()) {
              world.rejectedKnowing += limitKnown ? 1 : 0;
              world.rejectedUnknowing += limitKnown ? 0 : 1;
            }
            onHead(rejectionsPerSecond);
            finish();
            endpoint.onFailure(vm.steadyMs());
            vm.endpoints.limits().rejections().onRejected(listed);
            retryOrFail(request, true);
          });
    }

    @Override
    public void onFirstEvent(Optional<Integer> rejectionsPerSecond) {
      message(
          () -> {
            onHead(rejectionsPerSecond);
            request.started = true;
            world.onBegun(request.kind);
            firstEventMs = vm.steadyMs();
            promptDone();
            if (request.prompt.isPresent()) {
              admission.onFirstEvent(
                  admissionRequest(request), selection, firstEventMs - request.arrivalMs);
              endpoint.onDelay(
                  request.kind.tolerant(),
                  firstEventMs - sentMs - selection.expectedMs(),
                  firstEventMs);
            }
          });
    }

    @Override
    public void onEnd() {
      message(
          () -> {
            finish();
            long now = vm.steadyMs();
            endpoint.onSuccess(now);
            recordPace(now);
            if (request.prompt.isPresent()) {
              vm.speeds
                  .of(listed.service())
                  .onStream(
                      now - sentMs,
                      now - firstEventMs,
                      request.kind.outputTokens(),
                      listed.slots());
            } else {
              vm.speeds.of(listed.service()).onPlainCall(now - sentMs);
            }
            request.finished = true;
            OverloadedFleet.Tally tally = world.tallies.get(request.kind);
            if (now <= request.deadlineMs()) {
              tally.served++;
              long doneMs = request.prompt.isPresent() ? firstEventMs : now;
              tally.inTime += doneMs - request.firstMs <= request.kind.targetMs() ? 1 : 0;
            } else {
              tally.failed++;
            }
          });
    }

    private void recordPace(long now) {
      if (!world.learnsSpeeds) {
        return;
      }
      if (request.prompt.isPresent()) {
        int events = (int) (request.kind.outputTokens() / EVENT_TOKENS);
        endpoint.speed().onStream((double) (now - firstEventMs) / events, events - 1, now);
      } else {
        endpoint.speed().onPlainCall(now - sentMs, now);
      }
    }

    @Override
    public void onLost() {
      message(
          () -> {
            finish();
            endpoint.onFailure(vm.steadyMs());
            request.mayHaveRun = true;
            if (request.kind.idempotent()) {
              retryOrFail(request, true);
            } else {
              fail(request);
            }
          });
    }
  }
}
