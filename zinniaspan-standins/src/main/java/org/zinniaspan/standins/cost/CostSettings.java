package org.zinniaspan.standins.cost;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Settings of the cost measurements. */
final class CostSettings {

  @Parameter(
      names = "--parts",
      description = "What to measure: start, path, vms, endpoints, changes.")
  List<String> parts = new ArrayList<>(List.of("start", "path", "vms", "endpoints", "changes"));

  @Parameter(names = "--seconds", description = "Time over which each figure is taken.")
  int seconds = 10;

  @Parameter(names = "--settle-seconds", description = "Time before each figure is taken.")
  int settleSeconds = 5;

  @Parameter(names = "--vms", description = "Numbers of entry VMs.")
  List<Integer> vms = new ArrayList<>(List.of(2, 4, 8, 16, 32));

  @Parameter(names = "--endpoints", description = "Numbers of endpoints.")
  List<Integer> endpoints = new ArrayList<>(List.of(6, 60, 158));

  @Parameter(names = "--changes", description = "Changes of the inventory a second.")
  List<Double> changesPerSecond = new ArrayList<>(List.of(0.0, 0.1, 1.0));

  @Parameter(names = "--inventory-rows", description = "Endpoints in the changed inventory.")
  int inventoryRows = 60;

  @Parameter(names = "--requests-per-second", description = "Pace of requests to one VM.")
  double requestsPerSecond = 10;

  @Parameter(names = "--tokens", description = "Lengths of answers in tokens.")
  List<Integer> tokens = new ArrayList<>(List.of(10, 100, 290));

  @Parameter(names = "--starts", description = "How often a VM is started.")
  int starts = 5;

  @Parameter(names = "--entry-flags", description = "Flags of the entry VMs, space separated.")
  String entryFlags = "";

  @Parameter(names = "--logs", description = "Folder for the logs of the processes.")
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
