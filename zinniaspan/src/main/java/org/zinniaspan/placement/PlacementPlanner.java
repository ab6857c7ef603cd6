package org.zinniaspan.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.zinniaspan.inventory.Model;

/**
 * Plans the next change of loaded models in one availability zone.
 *
 * <p>First every model gets one engine where memory allows. Then an engine replaces a replica of
 * the model with the lowest demand per replica by one of the model with the highest, if the ratio
 * of their demands exceeds {@link #MIN_DEMAND_RATIO}. Engines that ignore fencing numbers take part
 * in the first step only: its result does not depend on demand, so two concurrent placers plan the
 * same changes for them.
 */
public final class PlacementPlanner {

  /**
   * Ratio of demands per replica above which a replica is replaced; the lower demand is that after
   * the replacement, with one replica fewer.
   */
  public static final double MIN_DEMAND_RATIO = 3.0;

  private final Map<String, Integer> memoryByModel = new HashMap<>();
  private final List<String> models = new ArrayList<>();

  /** Creates a planner for the models of the inventory. */
  public PlacementPlanner(List<Model> inventory) {
    for (Model model : inventory) {
      memoryByModel.put(model.name(), model.memoryMb());
      models.add(model.name());
    }
    models.sort(Comparator.naturalOrder());
  }

  /**
   * Returns the change with the highest priority, empty if none is needed or possible.
   *
   * @param engines engines with recent load reports
   * @param demand requests per second by model
   */
  public Optional<PlacementChange> nextChange(
      List<EngineView> engines, Map<String, Double> demand) {
    List<EngineView> ordered =
        engines.stream().sorted(Comparator.comparing(EngineView::name)).toList();
    for (String model : models) {
      if (replicas(ordered, model) == 0) {
        Optional<PlacementChange> change = placeUnservedModel(model, ordered);
        if (change.isPresent()) {
          return change;
        }
      }
    }
    return rebalance(ordered, demand);
  }

  private Optional<PlacementChange> placeUnservedModel(String model, List<EngineView> engines) {
    Optional<EngineView> emptiest =
        engines.stream()
            .filter(engine -> engine.allowed().contains(model))
            .filter(engine -> freeMb(engine) >= memoryMb(model))
            .max(Comparator.comparingInt(this::freeMb));
    if (emptiest.isPresent()) {
      return Optional.of(add(emptiest.get(), model, "no engine serves " + model));
    }
    for (EngineView engine : engines) {
      for (String evicted : sorted(engine.loaded())) {
        if (replicas(engines, evicted) > 1 && fitsAfterEviction(engine, evicted, model)) {
          return Optional.of(
              replace(
                  engine,
                  evicted,
                  model,
                  "no engine serves " + model + "; " + evicted + " has more than one replica"));
        }
      }
    }
    return Optional.empty();
  }

  private Optional<PlacementChange> rebalance(
      List<EngineView> engines, Map<String, Double> demand) {
    Optional<String> most =
        models.stream()
            .filter(model -> replicas(engines, model) > 0)
            .max(Comparator.comparingDouble(model -> demandPerReplica(model, engines, demand)));
    Optional<String> least =
        models.stream()
            .filter(model -> replicas(engines, model) > 1)
            .min(Comparator.comparingDouble(model -> demandPerReplica(model, engines, demand)));
    if (most.isEmpty() || least.isEmpty() || most.get().equals(least.get())) {
      return Optional.empty();
    }
    double high = demandPerReplica(most.get(), engines, demand);
    double lowAfter = demand.getOrDefault(least.get(), 0.0) / (replicas(engines, least.get()) - 1);
    if (high <= MIN_DEMAND_RATIO * lowAfter || high == 0) {
      return Optional.empty();
    }
    return engines.stream()
        .filter(EngineView::checksFencing)
        .filter(engine -> engine.loaded().contains(least.get()))
        .filter(engine -> !engine.loaded().contains(most.get()))
        .filter(engine -> fitsAfterEviction(engine, least.get(), most.get()))
        .findFirst()
        .map(engine -> replace(engine, least.get(), most.get(), "demand"));
  }

  private static double demandPerReplica(
      String model, List<EngineView> engines, Map<String, Double> demand) {
    return demand.getOrDefault(model, 0.0) / replicas(engines, model);
  }

  private static long replicas(List<EngineView> engines, String model) {
    return engines.stream().filter(engine -> engine.loaded().contains(model)).count();
  }

  private boolean fitsAfterEviction(EngineView engine, String evicted, String model) {
    boolean fits = freeMb(engine) + memoryMb(evicted) >= memoryMb(model);
    return fits && engine.allowed().contains(model);
  }

  private int freeMb(EngineView engine) {
    int used = engine.loaded().stream().mapToInt(this::memoryMb).sum();
    return engine.memoryMb() - used;
  }

  /** Returns the memory of a model in megabytes, zero if it is not in the inventory. */
  public int memoryMb(String model) {
    return memoryByModel.getOrDefault(model, 0);
  }

  private static List<String> sorted(Set<String> names) {
    return names.stream().sorted().toList();
  }

  private static PlacementChange add(EngineView engine, String model, String reason) {
    Set<String> targetModels = new HashSet<>(engine.loaded());
    targetModels.add(model);
    return new PlacementChange(engine.name(), targetModels, reason);
  }

  private static PlacementChange replace(
      EngineView engine, String evicted, String model, String reason) {
    Set<String> targetModels = new HashSet<>(engine.loaded());
    targetModels.remove(evicted);
    targetModels.add(model);
    return new PlacementChange(engine.name(), targetModels, reason);
  }
}
