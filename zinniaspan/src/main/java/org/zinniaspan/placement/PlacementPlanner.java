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
 * Decides the next change of models in one availability zone.
 *
 * <p>First every model gets one engine where memory allows. Then a replica moves from the model
 * with the least demand for each replica to the one with the most, if their demands differ by more
 * than {@link #MIN_DEMAND_RATIO}. Engines that ignore fencing numbers only take part in the first
 * step, whose result does not depend on demand, so that two placers wish the same of them.
 */
public final class PlacementPlanner {

  /** Ratio of demands for each replica above which a replica moves. */
  public static final double MIN_DEMAND_RATIO = 3.0;

  private final Map<String, Integer> memoryByModel = new HashMap<>();
  private final List<String> models = new ArrayList<>();

  /** Creates a planner for the models of an inventory. */
  public PlacementPlanner(List<Model> inventory) {
    for (Model model : inventory) {
      memoryByModel.put(model.name(), model.memoryMb());
      models.add(model.name());
    }
    models.sort(Comparator.naturalOrder());
  }

  /**
   * Returns the most urgent change, empty if all is well.
   *
   * @param engines engines with fresh reports
   * @param demand requests a second by model
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
                  "no engine serves " + model + "; " + evicted + " has two"));
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

  /** Returns the memory of a model in megabytes, zero if the inventory lacks it. */
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
