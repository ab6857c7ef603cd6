package org.zinniaspan.standins.choice;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.configuration.ConfigurationStore;
import org.zinniaspan.configuration.Document;
import org.zinniaspan.configuration.DocumentName;
import org.zinniaspan.dispatch.LocalSlotService;
import org.zinniaspan.dispatch.SlotService;
import org.zinniaspan.routing.EndpointChooser;
import org.zinniaspan.routing.EndpointTable;
import org.zinniaspan.routing.KeyedQuantiles;
import org.zinniaspan.routing.MedianOutputLengthEstimator;
import org.zinniaspan.routing.OutputLengthEstimator;
import org.zinniaspan.stream.RetryBudget;

/**
 * Runs the real choice, ejection, retry budget and estimates before simulated engines in virtual
 * time, with one process that decides for the pool.
 */
final class Simulation {

  static final String MODEL = "model-a";

  /** What a run is made of. */
  record Options(
      double requestsPerSecond,
      boolean straggler,
      boolean crash,
      boolean ejection,
      boolean hedging) {}

  private static final int ENGINES = 6;
  private static final double LENGTH_MS = 120_000;
  private static final double FAULT_MS = 30_000;
  private static final double CRASH_LASTS_MS = 60_000;
  private static final double SLOWDOWN = 5;
  private static final double REPORT_PERIOD_MS = 500;
  private static final double REPORT_LAG_MS = 2_000;
  private static final double TICK_MS = 50;
  private static final double SETTLING_MS = 30_000;

  private final Timeline timeline = new Timeline();
  private final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();
  private final SimulationResult result = new SimulationResult();
  private final OutputLengthEstimator estimates = new MedianOutputLengthEstimator();
  private final KeyedQuantiles firstTokens = new KeyedQuantiles(100, 50);
  private final RetryBudget budget = new RetryBudget(0.2, 2, timeline);
  private final Options options;
  private final Demand demand;
  private final EndpointTable table;
  private final LocalSlotService slots;

  Simulation(Options options, EndpointChooser chooser, long seed) {
    this.options = options;
    this.demand = new Demand(seed);
    for (int i = 1; i <= ENGINES; i++) {
      engines.put("engine-" + i, new SimulatedEngine("engine-" + i, timeline));
    }
    Configuration configuration = configuration();
    table = new EndpointTable("zone", () -> configuration, timeline);
    table.setEjectionEnabled(options.ejection());
    slots = new LocalSlotService(table, chooser, timeline);
  }

  private Configuration configuration() {
    List<String> rows = new ArrayList<>();
    int port = 1;
    for (String name : engines.keySet()) {
      rows.add(
          String.format(
              "{\"name\":\"%s\",\"kind\":\"engine\",\"zone\":\"zone\",\"address\":\"127.0.0.1:%d\","
                  + "\"models\":[\"%s\"],\"slots\":%d}",
              name, port++, MODEL, SimulatedEngine.SLOTS));
    }
    String json =
        String.format(
            "{\"regions\":[{\"name\":\"region\",\"zones\":[\"zone\"]}],"
                + "\"models\":[{\"name\":\"%s\",\"memoryMb\":1}],\"endpoints\":[%s]}",
            MODEL, String.join(",", rows));
    ConfigurationStore store = new ConfigurationStore();
    store.offer(new Document(DocumentName.INVENTORY, 1, json.getBytes(StandardCharsets.UTF_8)));
    return store.current();
  }

  SimulationResult run() {
    timeline.every(TICK_MS, slots::tick);
    timeline.every(REPORT_PERIOD_MS, this::poll);
    arriveNext(0);
    if (options.straggler()) {
      timeline.after(FAULT_MS, () -> engine("engine-5").setSlowdown(SLOWDOWN));
    }
    if (options.crash()) {
      timeline.after(FAULT_MS, engine("engine-6")::die);
      timeline.after(FAULT_MS + CRASH_LASTS_MS, engine("engine-6")::revive);
    }
    timeline.runUntil(LENGTH_MS + SETTLING_MS);
    return result;
  }

  private void poll() {
    for (SimulatedEngine engine : engines.values()) {
      engine.recordLoad();
      if (!engine.isDead()) {
        table.recordReport(engine.name(), engine.report(REPORT_LAG_MS));
      }
    }
  }

  private void arriveNext(int number) {
    timeline.after(
        demand.gapMs(options.requestsPerSecond()),
        () -> {
          if (timeline.exactMs() < LENGTH_MS) {
            Demand.Arrival arrival = demand.next();
            result.arrived(arrival.serviceClass());
            new SimulatedRequest(this, arrival, "r" + number).ask();
            arriveNext(number + 1);
          }
        });
  }

  SimulatedEngine engine(String name) {
    return engines.get(name);
  }

  Timeline timeline() {
    return timeline;
  }

  SlotService slots() {
    return slots;
  }

  Options options() {
    return options;
  }

  OutputLengthEstimator estimates() {
    return estimates;
  }

  KeyedQuantiles firstTokens() {
    return firstTokens;
  }

  RetryBudget budget() {
    return budget;
  }

  SimulationResult result() {
    return result;
  }
}
