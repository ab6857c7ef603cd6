package org.zinniaspan.standins.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.zinniaspan.configuration.ConfigurationStore;
import org.zinniaspan.configuration.Document;
import org.zinniaspan.configuration.DocumentName;
import org.zinniaspan.dispatch.DispatchContext;
import org.zinniaspan.dispatch.Dispatcher;
import org.zinniaspan.dispatch.DispatcherSlotService;
import org.zinniaspan.dispatch.LocalSlotService;
import org.zinniaspan.dispatch.QueueLimits;
import org.zinniaspan.dispatch.SlotDecisionListener;
import org.zinniaspan.dispatch.SlotService;
import org.zinniaspan.membership.Member;
import org.zinniaspan.membership.Membership;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.peer.PeerMessageRouter;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.routing.EndpointTable;
import org.zinniaspan.routing.EstimatedFirstToken;

/** The simulated engines and gateways of one availability zone, with one slot policy. */
final class SimulatedFleet {

  static final int GATEWAY_COUNT = 3;
  static final int ENGINE_COUNT = 4;
  static final int SLOTS_PER_ENGINE = 8;

  private static final String ZONE = "zone";
  private static final int FIRST_PORT = 9_000;
  private static final String ENDPOINT_JSON =
      "{'name':'%s','kind':'engine','zone':'%s','address':'127.0.0.1:%d',"
          .concat("'models':['%s'],'slots':%d}")
          .replace('\'', '"');
  private static final String INVENTORY_JSON =
      "{'regions':[{'name':'region','zones':['%s']}],'models':[{'name':'%s'}],'endpoints':[%s]}"
          .replace('\'', '"');
  private static final long TICK_PERIOD_MS = 50;
  private static final long LINK_DELAY_MS = 1;
  private static final long REPORT_PERIOD_MS = 500;
  private static final long REPORT_LAG_MS = 1_000;
  private static final int QUEUE_LIMIT = 64;
  private static final SlotDecisionListener NO_OP_LISTENER =
      new SlotDecisionListener() {
        @Override
        public void granted(DecidedRequest decided, String endpoint) {}

        @Override
        public void refused(DecidedRequest decided, NotRunReason reason, long retryAfterMs) {}

        @Override
        public void preempted(DecidedRequest decided) {}
      };

  private final EventScheduler scheduler;
  private final long seed;
  private final ConfigurationStore store = new ConfigurationStore();
  private final Map<String, FixedSlotEngine> engines = new LinkedHashMap<>();
  private final Map<String, PeerMessageRouter> routers = new LinkedHashMap<>();
  private final List<SlotService> slotServices = new ArrayList<>();

  /** Membership in which all members stay alive. */
  private record StaticMembership(Member self, List<Member> live) implements Membership {
    @Override
    public long changedAtMs() {
      return 0;
    }

    @Override
    public Optional<String> addressOf(String vm) {
      return Optional.empty();
    }
  }

  SimulatedFleet(EventScheduler scheduler, SlotPolicy policy, long seed) {
    this.scheduler = scheduler;
    this.seed = seed;
    publishInventory();
    switch (policy) {
      case DISPATCHER -> startDispatchers();
      case ALONE -> startLocalServices();
      case FIRST_COME -> startFirstComeService(Integer.MAX_VALUE);
      default -> startFirstComeService(QUEUE_LIMIT);
    }
  }

  /** Returns the slot service that the gateway uses. */
  SlotService slotService(int gateway) {
    return slotServices.get(gateway);
  }

  FixedSlotEngine engine(String name) {
    return engines.get(name);
  }

  private void publishInventory() {
    List<String> rows = new ArrayList<>();
    for (int i = 0; i < ENGINE_COUNT; i++) {
      String name = "engine-" + i;
      engines.put(name, new FixedSlotEngine(scheduler, SLOTS_PER_ENGINE));
      rows.add(
          ENDPOINT_JSON.formatted(
              name, ZONE, FIRST_PORT + i, SlotSimulation.MODEL, SLOTS_PER_ENGINE));
    }
    String inventory = INVENTORY_JSON.formatted(ZONE, SlotSimulation.MODEL, String.join(",", rows));
    byte[] body = inventory.getBytes(StandardCharsets.UTF_8);
    store.offer(new Document(DocumentName.INVENTORY, 1, body));
  }

  /** Creates an endpoint table that gets the load reports of all engines, after a delay. */
  private EndpointTable createEndpointTable() {
    EndpointTable table = new EndpointTable(ZONE, store::current, scheduler);
    scheduler.scheduleEvery(REPORT_PERIOD_MS, () -> sendReports(table));
    return table;
  }

  private void sendReports(EndpointTable table) {
    engines.forEach(
        (name, engine) -> {
          var report = engine.report();
          scheduler.schedule(REPORT_LAG_MS, () -> table.recordReport(name, report));
        });
  }

  private void startDispatchers() {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < GATEWAY_COUNT; i++) {
      members.add(new Member("vm-" + i, scheduler.nowMs(), "", false));
    }
    members.forEach(member -> startDispatcher(new StaticMembership(member, members)));
  }

  private void startDispatcher(StaticMembership membership) {
    DispatchContext context =
        new DispatchContext(
            membership,
            createEndpointTable(),
            new EstimatedFirstToken(seed),
            store::current,
            scheduler,
            QueueLimits.DEFAULT,
            NO_OP_LISTENER);
    PeerLink link = (vm, message) -> send(membership.self(), vm, message);
    Dispatcher dispatcher = new Dispatcher(context, link);
    DispatcherSlotService service = new DispatcherSlotService(context, link);
    PeerMessageRouter router = new PeerMessageRouter();
    router.register(dispatcher, Dispatcher.bodyCases());
    router.register(service, DispatcherSlotService.bodyCases());
    routers.put(membership.self().vm(), router);
    slotServices.add(service);
    scheduler.scheduleEvery(TICK_PERIOD_MS, dispatcher::tick);
    scheduler.scheduleEvery(TICK_PERIOD_MS, service::tick);
  }

  /** Delivers a peer message after the delay of the link. */
  private void send(Member from, String to, Envelope.Builder message) {
    Envelope envelope = message.setFromVm(from.vm()).setFromIncarnation(from.incarnation()).build();
    scheduler.schedule(LINK_DELAY_MS, () -> routers.get(to).handle(envelope));
  }

  private void startLocalServices() {
    for (int i = 0; i < GATEWAY_COUNT; i++) {
      LocalSlotService service =
          new LocalSlotService(createEndpointTable(), new EstimatedFirstToken(seed + i), scheduler);
      slotServices.add(service);
      scheduler.scheduleEvery(TICK_PERIOD_MS, service::tick);
    }
  }

  private void startFirstComeService(int queueLimit) {
    SlotService shared =
        new FirstComeSlotService(
            createEndpointTable(), new EstimatedFirstToken(seed), scheduler, queueLimit);
    for (int i = 0; i < GATEWAY_COUNT; i++) {
      slotServices.add(shared);
    }
  }
}
