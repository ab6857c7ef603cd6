package org.zinniaspan.standins.cost;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.zinniaspan.standins.StandinCommand;

/**
 * Measures processor time, memory and network use of entry VMs, idle and under load.
 *
 * <p>Example: {@code zinniaspan-standins cost --parts start,path}.
 */
@Parameters(commandDescription = "Measure processor time, memory and network use of entry VMs.")
public final class CostCommand implements StandinCommand {

  private static final List<String> PARTS =
      List.of("start", "path", "vms", "endpoints", "changes", "forward");

  @ParametersDelegate private final CostSettings settings = new CostSettings();

  @Override
  public int run() throws Exception {
    Path logs =
        settings.logs.isEmpty()
            ? Files.createTempDirectory("zinniaspan-cost")
            : Path.of(settings.logs);
    for (String part : settings.parts) {
      measure(part, logs);
    }
    return 0;
  }

  private void measure(String part, Path logs) throws Exception {
    ControlPlaneCost control = new ControlPlaneCost(settings, logs, System.out);
    switch (part) {
      case "start" -> new StartupCost(settings, logs, System.out).measure();
      case "path" -> new RequestPathCost(settings, logs, System.out).measure();
      case "vms" -> control.measureByVms();
      case "endpoints" -> control.measureByEndpoints();
      case "forward" -> new ForwardFleetCost(settings, logs, System.out).measure();
      case "changes" -> control.measureByChanges();
      default ->
          throw new IllegalArgumentException(
              "unknown part '" + part + "'; valid parts: " + String.join(", ", PARTS));
    }
  }
}
