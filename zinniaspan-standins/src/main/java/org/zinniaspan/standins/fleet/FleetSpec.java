package org.zinniaspan.standins.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Builder for the configuration of a {@link LocalFleet}: zones, entry VMs, endpoints and documents.
 *
 * <p>Example: {@code new FleetSpec().zone("recife-a", 2).engine("engine-1", "recife-a")}.
 */
public final class FleetSpec {

  record EngineSpec(String name, String zone, List<String> models, List<String> flags) {}

  record ServiceSpec(String name, String zone, String service, List<String> flags) {}

  final Map<String, Integer> entriesByZone = new LinkedHashMap<>();
  final List<EngineSpec> engines = new ArrayList<>();
  final List<ServiceSpec> services = new ArrayList<>();
  final List<String> entryFlags = new ArrayList<>();
  final Map<String, String> documents = new LinkedHashMap<>();
  List<String> models = List.of("model-a");
  List<String> allowedModels = List.of();
  int engineSlots = 8;
  int engineMemoryMb;

  /** Adds an availability zone with a number of entry VMs. */
  public FleetSpec zone(String zone, int entries) {
    entriesByZone.put(zone, entries);
    return this;
  }

  /**
   * Sets the models that the engines added after this call serve; the default is {@code model-a}.
   */
  public FleetSpec models(String... names) {
    models = List.of(names);
    return this;
  }

  /** Sets the models that placement may load on any engine, and the memory of each engine. */
  public FleetSpec placementModels(int memoryMb, String... names) {
    engineMemoryMb = memoryMb;
    allowedModels = List.of(names);
    return this;
  }

  /** Sets the number of slots of each engine; the default is 8. */
  public FleetSpec engineSlots(int slots) {
    engineSlots = slots;
    return this;
  }

  /** Adds an engine, with extra flags for the engine stand-in. */
  public FleetSpec engine(String name, String zone, String... flags) {
    engines.add(new EngineSpec(name, zone, models, List.of(flags)));
    return this;
  }

  /** Adds a plain service, with extra flags for the service stand-in. */
  public FleetSpec service(String name, String zone, String service, String... flags) {
    services.add(new ServiceSpec(name, zone, service, List.of(flags)));
    return this;
  }

  /** Adds flags that are passed to every entry daemon. */
  public FleetSpec entryFlags(String... flags) {
    entryFlags.addAll(List.of(flags));
    return this;
  }

  /**
   * Sets the content of a configuration document.
   *
   * @param name {@code rules}, which is required, or {@code organisations}, whose default is one
   *     organisation with the key {@link LocalFleet#ORGANISATION_KEY}
   */
  public FleetSpec document(String name, String json) {
    documents.put(name, json);
    return this;
  }
}
