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
 * Runs the router's endpoint choice, ejection, retry budget and length estimates against simulated
 * engines in virtual time.
 *
 * <p>A single slot service decides for the whole pool.
 */
final class ChoiceSimulation {

  static final String MODEL = "model-a";

  /**
   * Load, faults and policies of a run.
   *
   * @param requestsPerSecond mean request rate
   * @param straggler whether one engine slows down after 30 s
   * @param crash whether one engine is down from 30 s to 90 s
   * @param ejection whether the endpoint table ejects engines
   * @param hedging whether slow first attempts are hedged
   */
  record Options(
      double requestsPerSecond,
      boolean straggler,
      boolean crash,
      boolean ejection,
      boolean hedging) {}

  private static final int ENGINE_COUNT = 6;
  private static final double ARRIVAL_PERIOD_MS = 120_000;
  private static final double FAULT_START_MS = 30_000;
  private static final double CRASH_DURATION_MS = 60_000;
  private static final double STRAGGLER_SLOWDOWN = 5;
  private static final double REPORT_PERIOD_MS = 500;
  private static final double REPORT_LAG_MS = 2_000;
  private static final double TICK_PERIOD_MS = 50;
  private static final double DRAIN_MS = 30_000;

  private final PreciseEventScheduler scheduler = new PreciseEventScheduler();
  private final Map<String, BatchingEngine> engines = new LinkedHashMap<>();
  private final SimulationResult result = new SimulationResult();
  private final OutputLengthEstimator lengthEstimator = new MedianOutputLengthEstimator();
  private final KeyedQuantiles firstTokenLatencies = new KeyedQuantiles(100, 50);
  private final RetryBudget retryBudget = new RetryBudget(0.2, 2, scheduler);
  private final Options options;
  private final RequestGenerator requestGenerator;
  private final EndpointTable endpointTable;
  private final LocalSlotService slotService;

  ChoiceSimulation(Options options, EndpointChooser chooser, long seed) {
    this.options = options;
    this.requestGenerator = new RequestGenerator(seed);
    for (int i = 1; i <= ENGINE_COUNT; i++) {
      engines.put("engine-" + i, new BatchingEngine("engine-" + i, scheduler));
    }
    Configuration configuration = createConfiguration();
    endpointTable = new EndpointTable("zone", () -> configuration, scheduler);
    endpointTable.setEjectionEnabled(options.ejection());
    slotService = new LocalSlotService(endpointTable, chooser, scheduler);
  }

  private Configuration createConfiguration() {
    List<String> rows = new ArrayList<>();
    int port = 1;
    for (String name : engines.keySet()) {
      rows.add(
          String.format(
              "{\"name\":\"%s\",\"kind\":\"engine\",\"zone\":\"zone\",\"address\":\"127.0.0.1:%d\","
                  + "\"models\":[\"%s\"],\"slots\":%d}",
              name, port++, MODEL, BatchingEngine.SLOTS));
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

  /** Runs two minutes of arrivals and the time to end the last ones, and returns the result. */
  SimulationResult run() {
    scheduler.scheduleEvery(TICK_PERIOD_MS, slotService::tick);
    scheduler.scheduleEvery(REPORT_PERIOD_MS, this::pollLoads);
    scheduleArrival(0);
    if (options.straggler()) {
      scheduler.schedule(FAULT_START_MS, () -> engine("engine-5").setSlowdown(STRAGGLER_SLOWDOWN));
    }
    if (options.crash()) {
      scheduler.schedule(FAULT_START_MS, engine("engine-6")::crash);
      scheduler.schedule(FAULT_START_MS + CRASH_DURATION_MS, engine("engine-6")::restart);
    }
    scheduler.runUntil(ARRIVAL_PERIOD_MS + DRAIN_MS);
    return result;
  }

  private void pollLoads() {
    for (BatchingEngine engine : engines.values()) {
      engine.recordLoad();
      if (!engine.isDown()) {
        endpointTable.recordReport(engine.name(), engine.laggedReport(REPORT_LAG_MS));
      }
    }
  }

  private void scheduleArrival(int number) {
    scheduler.schedule(
        requestGenerator.drawInterarrivalMs(options.requestsPerSecond()),
        () -> {
          if (scheduler.exactNowMs() < ARRIVAL_PERIOD_MS) {
            RequestGenerator.RequestSpec spec = requestGenerator.next();
            result.recordArrival(spec.serviceClass());
            new SimulatedRequest(this, spec, "r" + number).acquireSlot();
            scheduleArrival(number + 1);
          }
        });
  }

  BatchingEngine engine(String name) {
    return engines.get(name);
  }

  PreciseEventScheduler scheduler() {
    return scheduler;
  }

  SlotService slotService() {
    return slotService;
  }

  Options options() {
    return options;
  }

  OutputLengthEstimator lengthEstimator() {
    return lengthEstimator;
  }

  KeyedQuantiles firstTokenLatencies() {
    return firstTokenLatencies;
  }

  RetryBudget retryBudget() {
    return retryBudget;
  }

  SimulationResult result() {
    return result;
  }
}
