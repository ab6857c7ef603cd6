package org.zinniaspan.standins;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.zinniaspan.standins.caller.CallerClient;
import org.zinniaspan.standins.caller.CallerClient.ChatRequest;
import org.zinniaspan.standins.caller.CallerResult;
import org.zinniaspan.standins.fleet.FleetSpec;
import org.zinniaspan.standins.fleet.LocalFleet;

/**
 * The other VMs of a zone keep serving while the VM that owns a pool's dispatcher role is killed or
 * paused.
 */
class DispatcherProcessTest {

  private static final String ZONE = "recife-a";
  private static final String MODEL = "counter-3b";
  private static final int REQUEST_COUNT = 30;

  private LocalFleet fleet;

  @BeforeEach
  void start() throws IOException {
    String rules = Files.readString(Path.of("..", "config", "placa-limpa", "rules.json"));
    FleetSpec spec =
        new FleetSpec()
            .zone(ZONE, 3)
            .models(MODEL)
            .engine("engine-1", ZONE)
            .engine("engine-2", ZONE)
            .document("rules", rules);
    fleet = LocalFleet.start(spec, Path.of("target", "fleet", "dispatcher"));
    LocalFleet.await("agreement on the dispatcher", this::isOwnerAgreed);
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private boolean isOwnerAgreed() {
    List<String> owners =
        fleet.entries().values().stream().map(DispatcherProcessTest::ownerAsSeenBy).toList();
    return fleet.entries().containsKey(owners.get(0)) && owners.stream().distinct().count() == 1;
  }

  private static String ownerAsSeenBy(LocalFleet.EntryProcess entry) {
    try {
      String status = LocalFleet.get(entry.adminAddress(), "/status").body();
      return new ObjectMapper()
          .readTree(status)
          .path("roles")
          .path("dispatch model/" + MODEL)
          .asText();
    } catch (IOException e) {
      return "";
    }
  }

  private LocalFleet.EntryProcess owner() {
    return fleet.entries().get(ownerAsSeenBy(fleet.entries().get(ZONE + "-1")));
  }

  private LocalFleet.EntryProcess survivor(LocalFleet.EntryProcess owner) {
    return fleet.entries().values().stream()
        .filter(entry -> !entry.name().equals(owner.name()))
        .findFirst()
        .orElseThrow();
  }

  private static void assertServes(LocalFleet.EntryProcess entry) {
    CallerClient caller = new CallerClient(LocalFleet.ORGANISATION_KEY);
    for (int i = 0; i < REQUEST_COUNT; i++) {
      ChatRequest request =
          new ChatRequest(MODEL, "request " + i + " #tokens=8", Optional.empty(), i % 2 == 0);
      CallerResult result = caller.chat(entry.callerAddress(), request);
      assertWithMessage("request %s: %s", i, result).that(result.isAnswered()).isTrue();
    }
  }

  @Test
  void survivorsServeFromTheFirstRequestAfterTheOwnerWasKilled() {
    LocalFleet.EntryProcess owner = owner();
    LocalFleet.EntryProcess survivor = survivor(owner);
    owner.process().kill();
    assertServes(survivor);
    LocalFleet.await("a new dispatcher", () -> !ownerAsSeenBy(survivor).equals(owner.name()));
    assertServes(survivor);
  }

  @Test
  void survivorsServeWhileTheOwnerIsPausedAndTheOwnerServesAfterResuming() throws IOException {
    LocalFleet.EntryProcess owner = owner();
    LocalFleet.EntryProcess survivor = survivor(owner);
    owner.process().pause();
    assertServes(survivor);
    LocalFleet.await("a new dispatcher", () -> !ownerAsSeenBy(survivor).equals(owner.name()));
    owner.process().resume();
    LocalFleet.await("agreement on the dispatcher", this::isOwnerAgreed);
    assertServes(owner);
    assertThat(ownerAsSeenBy(survivor)).isEqualTo(owner.name());
  }
}
