package org.zinniaspan.standins.cost;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Command-line settings of the cost measurements. */
final class CostSettings {

  @Parameter(
      names = "--parts",
      description = "Measurements to run: start, path, vms, endpoints, changes, forward.")
  List<String> parts = new ArrayList<>(List.of("start", "path", "vms", "endpoints", "changes"));

  @Parameter(names = "--seconds", description = "Duration of each measurement, in seconds.")
  int seconds = 10;

  @Parameter(names = "--settle-seconds", description = "Wait before each measurement, in seconds.")
  int settleSeconds = 5;

  @Parameter(names = "--vms", description = "Numbers of entry VMs to measure.")
  List<Integer> vms = new ArrayList<>(List.of(2, 4, 8, 16, 32));

  @Parameter(names = "--endpoints", description = "Numbers of endpoints to measure.")
  List<Integer> endpoints = new ArrayList<>(List.of(6, 60, 158));

  @Parameter(names = "--changes", description = "Inventory changes per second to measure.")
  List<Double> changesPerSecond = new ArrayList<>(List.of(0.0, 0.1, 1.0));

  @Parameter(
      names = "--inventory-rows",
      description = "Number of endpoints in the changed inventory.")
  int inventoryRows = 60;

  @Parameter(names = "--requests-per-second", description = "Rate of requests to one VM.")
  double requestsPerSecond = 10;

  @Parameter(names = "--tokens", description = "Response lengths to measure, in tokens.")
  List<Integer> tokens = new ArrayList<>(List.of(10, 100, 290));

  @Parameter(names = "--starts", description = "Number of VM starts to measure.")
  int starts = 5;

  @Parameter(names = "--entry-flags", description = "Flags for the entry VMs, separated by spaces.")
  String entryFlags = "";

  @Parameter(
      names = "--class-path",
      description = "Class path of the forward daemons; default: that of this process.")
  String classPath = "";

  @Parameter(
      names = "--logs",
      description = "Directory for process logs; default: a new temporary directory.")
  String logs = "";

  String[] entryFlags() {
    return entryFlags.isBlank() ? new String[0] : entryFlags.trim().split("\\s+");
  }

  String rules() throws IOException {
    try (InputStream in =
        CostSettings.class.getResourceAsStream("/config/placa-limpa/rules.json")) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
