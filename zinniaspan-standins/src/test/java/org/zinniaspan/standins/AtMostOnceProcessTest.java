package org.zinniaspan.standins;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.zinniaspan.standins.caller.CallerClient;
import org.zinniaspan.standins.caller.CallerClient.ServiceRequest;
import org.zinniaspan.standins.caller.CallerResult;
import org.zinniaspan.standins.fleet.FleetProcess;
import org.zinniaspan.standins.fleet.FleetSpec;
import org.zinniaspan.standins.fleet.LocalFleet;

/**
 * The service counts at most one run of each key while entry VMs are killed, paused and replaced.
 */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class AtMostOnceProcessTest {

  private static final String ZONE = "recife-a";
  private static final String OTHER_ZONE = "recife-b";
  private static final CallerClient CALLER = new CallerClient(LocalFleet.ORGANISATION_KEY);
  private static LocalFleet fleet;

  @BeforeAll
  static void start() throws IOException {
    String rules = Files.readString(Path.of("..", "config", "placa-limpa", "rules.json"));
    fleet =
        LocalFleet.start(
            new FleetSpec()
                .zone(ZONE, 3)
                .zone(OTHER_ZONE, 1)
                .service("app-1", ZONE, "app")
                .document("rules", rules),
            Path.of("target", "fleet", "at-most-once"));
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  private static FleetProcess process(int number) {
    return fleet.entries().get(ZONE + "-" + number).process();
  }

  private static InetSocketAddress entry(int number) {
    return fleet.entries().get(ZONE + "-" + number).callerAddress();
  }

  private static CallerResult charge(InetSocketAddress entry, String key) {
    return CALLER.call(
        entry,
        new ServiceRequest("POST", "app/charges", "{\"key\":\"" + key + "\"}", Optional.of(key)));
  }

  private static CompletableFuture<CallerResult> chargeAsync(int entry, String key) {
    return CompletableFuture.supplyAsync(() -> charge(entry(entry), key));
  }

  private static InetSocketAddress service() {
    return fleet.endpoints().get("app-1").address();
  }

  private static int runCount(String key) {
    try {
      return new ObjectMapper()
          .readTree(LocalFleet.get(service(), "/counts").body())
          .path(key)
          .asInt();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void awaitRun(String key) {
    LocalFleet.await("run of " + key, () -> runCount(key) == 1);
  }

  @Test
  @Order(1)
  void firstCallsAreAnsweredThroughEveryVm() {
    for (int i = 1; i <= 3; i++) {
      CallerResult result = charge(entry(i), "plain-" + i);
      assertWithMessage(result.text()).that(result.outcome()).isEqualTo("answered");
    }
  }

  @Test
  @Order(2)
  void retryAtAnotherVmWhileTheFirstRunsGetsTheSameAnswer() {
    fleet.control(service(), "delayMs=700");
    CompletableFuture<CallerResult> first = chargeAsync(1, "retry");
    awaitRun("retry");
    CallerResult retry = charge(entry(2), "retry");
    assertWithMessage(retry.text()).that(retry.outcome()).isEqualTo("answered");
    assertThat(retry.text()).isEqualTo(first.join().text());
    assertThat(charge(entry(3), "retry").text()).isEqualTo(retry.text());
    fleet.control(service(), "delayMs=0");
    assertThat(runCount("retry")).isEqualTo(1);
  }

  @Test
  @Order(3)
  void callFromAnotherZoneRunsInTheHomeZone() {
    InetSocketAddress other = fleet.entries().get(OTHER_ZONE + "-1").callerAddress();
    CallerResult result = charge(other, "forwarded");
    assertWithMessage(result.text()).that(result.outcome()).isEqualTo("answered");
    assertThat(charge(entry(1), "forwarded").text()).isEqualTo(result.text());
    assertThat(runCount("forwarded")).isEqualTo(1);
  }

  @Test
  @Order(4)
  void pausedRunnerThatResumesDoesNotRunAgain() throws IOException {
    fleet.control(service(), "delayMs=700");
    final CompletableFuture<CallerResult> first = chargeAsync(1, "paused");
    awaitRun("paused");
    process(1).pause();
    assertThat(charge(entry(2), "paused").outcome()).isEqualTo("unknown");
    final CompletableFuture<CallerResult> unread = chargeAsync(1, "unread");
    assertThat(charge(entry(2), "unread").outcome()).isEqualTo("answered");
    process(1).resume();
    first.join();
    unread.join();
    fleet.control(service(), "delayMs=0");
    assertThat(runCount("paused")).isEqualTo(1);
    assertThat(runCount("unread")).isEqualTo(1);
    assertThat(charge(entry(2), "paused").outcome()).isEqualTo("answered");
  }

  @Test
  @Order(5)
  void retryDoesNotReplaceKilledRunner() throws IOException {
    fleet.control(service(), "delayMs=700");
    chargeAsync(1, "killed");
    awaitRun("killed");
    process(1).kill();
    assertThat(charge(entry(2), "killed").outcome()).isEqualTo("unknown");
    assertThat(charge(entry(3), "killed").outcome()).isEqualTo("unknown");
    fleet.control(service(), "delayMs=0");
    assertThat(charge(entry(3), "after-kill").outcome()).isEqualTo("answered");
    fleet.startEntry(ZONE + "-4", ZONE);
    fleet.publishVms();
    fleet.awaitReady();
    assertThat(charge(entry(4), "killed").outcome()).isEqualTo("unknown");
    CallerResult fresh = charge(entry(4), "at-fresh");
    assertWithMessage(fresh.text()).that(fresh.outcome()).isEqualTo("answered");
    assertThat(runCount("killed")).isEqualTo(1);
  }

  @Test
  @Order(6)
  void withoutMajorityTheAnswerIsUnknownAtOnceAndNothingRuns() {
    process(2).kill();
    process(3).kill();
    CallerResult result = charge(entry(4), "alone");
    assertThat(result.outcome()).isEqualTo("unknown");
    assertThat(result.totalMs()).isLessThan(5_000.0);
    assertThat(runCount("alone")).isEqualTo(0);
  }
}
