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

/** The engines and gateways of one availability zone under one policy. */
final class SlotFleet {

  static final int GATEWAYS = 3;
  static final int ENGINES = 4;
  static final int SLOTS_PER_ENGINE = 8;

  private static final String ZONE = "zone";
  private static final int FIRST_PORT = 9_000;
  private static final String ENDPOINT =
      "{'name':'%s','kind':'engine','zone':'%s','address':'127.0.0.1:%d',"
          .concat("'models':['%s'],'slots':%d}")
          .replace('\'', '"');
  private static final String INVENTORY =
      "{'regions':[{'name':'region','zones':['%s']}],'models':[{'name':'%s'}],'endpoints':[%s]}"
          .replace('\'', '"');
  private static final long TICK_MS = 50;
  private static final long LINK_MS = 1;
  private static final long REPORT_PERIOD_MS = 500;
  private static final long REPORT_LAG_MS = 1_000;
  private static final int QUEUE_LIMIT = 64;
  private static final SlotDecisionListener SILENT =
      new SlotDecisionListener() {
        @Override
        public void granted(DecidedRequest decided, String endpoint) {}

        @Override
        public void refused(DecidedRequest decided, NotRunReason reason, long retryAfterMs) {}

        @Override
        public void preempted(DecidedRequest decided) {}
      };

  private final EventQueue time;
  private final long seed;
  private final ConfigurationStore store = new ConfigurationStore();
  private final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();
  private final Map<String, PeerMessageRouter> routers = new LinkedHashMap<>();
  private final List<SlotService> gateways = new ArrayList<>();

  private record Zone(Member self, List<Member> live) implements Membership {
    @Override
    public long changedAtMs() {
      return 0;
    }

    @Override
    public Optional<String> addressOf(String vm) {
      return Optional.empty();
    }
  }

  SlotFleet(EventQueue time, SlotPolicy policy, long seed) {
    this.time = time;
    this.seed = seed;
    publish();
    switch (policy) {
      case DISPATCHER -> startDispatchers();
      case ALONE -> startAlone();
      case FIRST_COME -> startFirstCome(Integer.MAX_VALUE);
      default -> startFirstCome(QUEUE_LIMIT);
    }
  }

  SlotService gateway(int number) {
    return gateways.get(number);
  }

  SimulatedEngine engine(String name) {
    return engines.get(name);
  }

  private void publish() {
    List<String> rows = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      String name = "engine-" + i;
      engines.put(name, new SimulatedEngine(time, SLOTS_PER_ENGINE));
      rows.add(
          ENDPOINT.formatted(name, ZONE, FIRST_PORT + i, SlotSimulation.MODEL, SLOTS_PER_ENGINE));
    }
    String inventory = INVENTORY.formatted(ZONE, SlotSimulation.MODEL, String.join(",", rows));
    byte[] body = inventory.getBytes(StandardCharsets.UTF_8);
    store.offer(new Document(DocumentName.INVENTORY, 1, body));
  }

  private EndpointTable table() {
    EndpointTable table = new EndpointTable(ZONE, store::current, time);
    time.every(REPORT_PERIOD_MS, () -> report(table));
    return table;
  }

  private void report(EndpointTable table) {
    engines.forEach(
        (name, engine) -> {
          var report = engine.report();
          time.after(REPORT_LAG_MS, () -> table.recordReport(name, report));
        });
  }

  private void startDispatchers() {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < GATEWAYS; i++) {
      members.add(new Member("vm-" + i, time.nowMs(), "", false));
    }
    members.forEach(member -> startDispatcher(new Zone(member, members)));
  }

  private void startDispatcher(Zone zone) {
    DispatchContext context =
        new DispatchContext(
            zone,
            table(),
            new EstimatedFirstToken(seed),
            store::current,
            time,
            QueueLimits.DEFAULT,
            SILENT);
    PeerLink link = (vm, message) -> send(zone.self(), vm, message);
    Dispatcher dispatcher = new Dispatcher(context, link);
    DispatcherSlotService service = new DispatcherSlotService(context, link);
    PeerMessageRouter router = new PeerMessageRouter();
    router.register(dispatcher, Dispatcher.bodyCases());
    router.register(service, DispatcherSlotService.bodyCases());
    routers.put(zone.self().vm(), router);
    gateways.add(service);
    time.every(TICK_MS, dispatcher::tick);
    time.every(TICK_MS, service::tick);
  }

  private void send(Member from, String to, Envelope.Builder message) {
    Envelope envelope = message.setFromVm(from.vm()).setFromIncarnation(from.incarnation()).build();
    time.after(LINK_MS, () -> routers.get(to).handle(envelope));
  }

  private void startAlone() {
    for (int i = 0; i < GATEWAYS; i++) {
      LocalSlotService service =
          new LocalSlotService(table(), new EstimatedFirstToken(seed + i), time);
      gateways.add(service);
      time.every(TICK_MS, service::tick);
    }
  }

  private void startFirstCome(int limit) {
    SlotService shared = new FirstComeSlots(table(), new EstimatedFirstToken(seed), time, limit);
    for (int i = 0; i < GATEWAYS; i++) {
      gateways.add(shared);
    }
  }
}
