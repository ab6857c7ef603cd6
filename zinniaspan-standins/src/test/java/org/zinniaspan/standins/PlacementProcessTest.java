package org.zinniaspan.standins;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.zinniaspan.standins.caller.CallerClient;
import org.zinniaspan.standins.caller.CallerClient.ChatRequest;
import org.zinniaspan.standins.fleet.FleetSpec;
import org.zinniaspan.standins.fleet.LocalFleet;

/** A daemon orders an engine to load a model that no engine of the availability zone serves. */
class PlacementProcessTest {

  private static final String ZONE = "recife-a";

  @Test
  void missingModelIsLoadedAndServed() throws IOException {
    String rules = Files.readString(Path.of("..", "config", "placa-limpa", "rules.json"));
    FleetSpec spec =
        new FleetSpec()
            .zone(ZONE, 2)
            .models("counter-3b")
            .placementModels(2_500, "counter-3b", "dossier-14b")
            .engine("engine-1", ZONE, "--checks-fencing")
            .engine("engine-2", ZONE)
            .document("rules", rules);
    CallerClient caller = new CallerClient(LocalFleet.ORGANISATION_KEY);
    ChatRequest request = new ChatRequest("dossier-14b", "a dossier", Optional.empty(), false);
    try (LocalFleet fleet = LocalFleet.start(spec, Path.of("target", "fleet", "placement"))) {
      var entry = fleet.entries().get(ZONE + "-1").callerAddress();
      assertThat(caller.chat(entry, request).isAnswered()).isFalse();
      LocalFleet.await("an answer of dossier-14b", () -> caller.chat(entry, request).isAnswered());
    }
  }
}
