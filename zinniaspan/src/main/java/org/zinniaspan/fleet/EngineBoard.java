package org.zinniaspan.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.forwarding.EndpointDirectory;
import org.zinniaspan.forwarding.EngineReport;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.SharedPressure;
import org.zinniaspan.forwarding.StreamWork;
import org.zinniaspan.peer.proto.EngineLoad;
import org.zinniaspan.peer.proto.EngineQuery;
import org.zinniaspan.peer.proto.EngineState;

/**
 * The newest load report of each engine, numbered so that other VMs can ask for those that they
 * have not seen, the work of the streams at the engines, and other observations of endpoints.
 *
 * <p>A query is held until there are new reports; those that arrive shortly after one another are
 * sent together. Other observations are sent at once. Not thread-safe.
 */
public final class EngineBoard implements Ticking {

  /** Time for which reports are collected before a query is answered, in milliseconds. */
  private static final long BATCH_MS = 40;

  /** Longest time for which a query is held, in milliseconds. */
  private static final long MAX_WAIT_MS = 5_000;

  private record Entry(
      ListedEndpoint engine, EngineReport report, long requestedMs, long sequence) {}

  private record HeldQuery(EngineQuery query, long arrivedMs, Consumer<EngineState> responder) {}

  private final EndpointDirectory directory;
  private final WorkExchange work;
  private final ObservationExchange observations;
  private final SpeedExchange speeds;
  private final PressureExchange pressure;
  private final Clock clock;
  private final long epoch;
  private final Map<String, Entry> entries = new HashMap<>();
  private final List<HeldQuery> held = new ArrayList<>();
  private long sequence;
  private long batchStartMs;
  private boolean batchStarted;
  private boolean stopped;

  /**
   * Creates a board without reports.
   *
   * @param streamWork the work of this VM's streams
   * @param sharedPressure the requests of all VMs to engines
   * @param observations what VMs tell each other besides load reports
   * @param epoch number of this process that no other one has
   */
  public EngineBoard(
      EndpointDirectory directory,
      StreamWork streamWork,
      SharedPressure sharedPressure,
      ObservationExchange observations,
      Clock clock,
      long epoch) {
    this.directory = directory;
    this.work = new WorkExchange(streamWork, clock);
    this.observations = observations;
    this.speeds = new SpeedExchange(directory, clock);
    this.pressure = new PressureExchange(sharedPressure, clock);
    this.clock = clock;
    this.epoch = epoch;
  }

  /**
   * Records a report, unless a newer one is known.
   *
   * @param requestedMs time at which the report was requested, in milliseconds
   * @return whether it is the newest
   */
  public boolean record(ListedEndpoint engine, EngineReport report, long requestedMs) {
    Entry known = entries.get(engine.id());
    if (known != null && known.requestedMs() >= requestedMs) {
      return false;
    }
    sequence++;
    entries.put(engine.id(), new Entry(engine, report, requestedMs, sequence));
    if (!batchStarted) {
      batchStarted = true;
      batchStartMs = clock.nowMs();
    }
    return true;
  }

  /** Returns the exchange of the work of streams. */
  WorkExchange work() {
    return work;
  }

  /** Returns the exchange of requests by rank and organisation. */
  PressureExchange pressure() {
    return pressure;
  }

  /** Returns the exchange of the speeds of endpoints. */
  SpeedExchange speeds() {
    return speeds;
  }

  /** Returns the exchange of what VMs tell each other besides load reports. */
  ObservationExchange observations() {
    return observations;
  }

  /** Answers a query, now or later; the responder is called once. */
  public void onQuery(EngineQuery query, Consumer<EngineState> responder) {
    if (query.getWorkCount() > 0) {
      work.onMember(query.getSender(), query.getWorkList());
    }
    observations.merge(query.getObservations());
    speeds.onReported(query);
    if (query.getWorkCount() > 0) {
      pressure.onReported(query);
    }
    HeldQuery entry = new HeldQuery(query, clock.nowMs(), responder);
    boolean isDue = hasNew(query) && query.getMinWaitMs() <= 0;
    if (stopped || isDue || hasNewObservations(query)) {
      respond(entry);
    } else {
      held.add(entry);
    }
  }

  /** Answers all queries from now on at once and without load reports. */
  public void stop() {
    stopped = true;
  }

  @Override
  public void tick() {
    long now = clock.nowMs();
    boolean batchComplete = batchStarted && now - batchStartMs >= BATCH_MS;
    if (batchComplete) {
      batchStarted = false;
      entries.keySet().removeIf(id -> !directory.contains(id));
    }
    if (held.isEmpty()) {
      return;
    }
    List<HeldQuery> due =
        held.stream()
            .filter(
                entry ->
                    stopped
                        || isWaitOver(entry, now)
                        || hasNewObservations(entry.query())
                        || (isMinWaitOver(entry, now, batchComplete) && hasNew(entry.query())))
            .toList();
    held.removeAll(due);
    due.forEach(this::respond);
  }

  private static boolean isWaitOver(HeldQuery entry, long now) {
    return now - entry.arrivedMs() >= Math.min(MAX_WAIT_MS, entry.query().getWaitMs());
  }

  /**
   * Returns whether new reports are sent now: with the batch, or once the query's minimum wait has
   * passed if it states one.
   */
  private static boolean isMinWaitOver(HeldQuery entry, long now, boolean batchComplete) {
    long minWaitMs = entry.query().getMinWaitMs();
    return minWaitMs > 0 ? now - entry.arrivedMs() >= minWaitMs : batchComplete;
  }

  private boolean hasNew(EngineQuery query) {
    if (query.getEpoch() == epoch && query.getSequence() >= sequence) {
      return false;
    }
    return entries.values().stream().anyMatch(entry -> isNew(entry, query));
  }

  private boolean hasNewObservations(EngineQuery query) {
    return query.hasObservationSequence() && observations.sequence() > observationSequence(query);
  }

  /** Returns the sequence up to which the sender of a query has this process's observations. */
  private long observationSequence(EngineQuery query) {
    return query.getEpoch() == epoch ? query.getObservationSequence() : 0;
  }

  private boolean isNew(Entry entry, EngineQuery query) {
    boolean wanted = query.getZone().isEmpty() || query.getZone().equals(entry.engine().zone());
    return wanted && (query.getEpoch() != epoch || entry.sequence() > query.getSequence());
  }

  private void respond(HeldQuery heldQuery) {
    EngineState.Builder state =
        EngineState.newBuilder()
            .setEpoch(epoch)
            .setSequence(sequence)
            .setHeldMs(clock.nowMs() - heldQuery.arrivedMs())
            .setHeedsMinWait(true)
            .setStopping(stopped);
    if (!stopped) {
      pressure.tell(state);
      state.addAllZoneWork(work.zoneWork()).addAllFleetWork(work.fleetWork());
      entries.forEach(
          (id, entry) -> {
            if (isNew(entry, heldQuery.query())) {
              state.addLoads(encode(entry));
            }
          });
    }
    if (heldQuery.query().hasObservationSequence()) {
      state
          .setObservationSequence(observations.sequence())
          .setObservations(observations.encodeAll(observationSequence(heldQuery.query())));
    }
    heldQuery.responder().accept(state.build());
  }

  private EngineLoad encode(Entry entry) {
    EngineLoad.Builder load =
        EngineLoad.newBuilder()
            .setEndpoint(entry.engine().id())
            .setStartedAtMs(entry.engine().startedAtMs())
            .setAgeMs(clock.nowMs() - entry.requestedMs())
            .setQueued(entry.report().queued())
            .setActive(entry.report().active());
    return speeds.withSums(entry.engine(), load).build();
  }
}
