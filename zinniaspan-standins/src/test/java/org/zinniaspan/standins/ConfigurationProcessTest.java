package org.zinniaspan.standins;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.zinniaspan.standins.fleet.FleetSpec;
import org.zinniaspan.standins.fleet.LocalFleet;

/**
 * All processes adopt a published document within seconds and never return to an older revision.
 */
class ConfigurationProcessTest {

  private static final long PROPAGATION_BOUND_MS = 9_000;
  private final ObjectMapper mapper = new ObjectMapper();
  private LocalFleet fleet;
  private String rules;

  @BeforeEach
  void start() throws IOException {
    rules = Files.readString(Path.of("..", "config", "placa-limpa", "rules.json"));
    fleet =
        LocalFleet.start(
            new FleetSpec()
                .zone("recife-a", 2)
                .zone("recife-b", 2)
                .models("counter-3b")
                .engine("engine-1", "recife-a")
                .document("rules", rules),
            Path.of("target", "fleet", "configuration"));
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private long revision(LocalFleet.EntryProcess entry) {
    try {
      JsonNode status = mapper.readTree(LocalFleet.get(entry.adminAddress(), "/status").body());
      return status.path("revisions").path("rules").asLong();
    } catch (IOException e) {
      return 0;
    }
  }

  private boolean isInForce(long revision) {
    return fleet.entries().values().stream().allMatch(entry -> revision(entry) == revision);
  }

  private long awaitInForce(long revision) {
    long startNanos = System.nanoTime();
    LocalFleet.await("revision " + revision, () -> isInForce(revision));
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  private void control(String query) {
    fleet.control(fleet.platformAddress(), query);
  }

  @Test
  void changesAreAdoptedEverywhereAndInvalidDocumentsAreRejected() throws IOException {
    long propagationMs = awaitInForce(fleet.publish("rules", rules));
    System.out.println("adopted by 4 processes after " + propagationMs + " ms");
    assertThat(propagationMs).isAtMost(PROPAGATION_BOUND_MS);
    fleet.publish("rules", "{\"classes\":[{\"tier\":-1}]}");
    propagationMs = awaitInForce(fleet.publish("rules", rules));
    assertThat(propagationMs).isAtMost(PROPAGATION_BOUND_MS);
  }

  @Test
  void platformOutageOrRollbackKeepsTheNewestRevision() throws IOException {
    control("mark=true");
    final long newest = fleet.publish("rules", rules);
    awaitInForce(newest);
    control("back=true");
    LocalFleet.EntryProcess fresh = fleet.startEntry("recife-a-9", "recife-a");
    fleet.awaitReady();
    assertThat(revision(fresh)).isEqualTo(newest);
    assertThat(isInForce(newest)).isTrue();
    control("back=false&down=true");
    long later = fleet.publish("rules", rules);
    assertThat(isInForce(newest)).isTrue();
    control("down=false");
    assertThat(awaitInForce(later)).isAtMost(PROPAGATION_BOUND_MS);
  }
}
