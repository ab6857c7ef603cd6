package org.zinniaspan.standins;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.zinniaspan.standins.caller.CallerClient;
import org.zinniaspan.standins.caller.CallerClient.ChatRequest;
import org.zinniaspan.standins.caller.CallerResult;
import org.zinniaspan.standins.fleet.FleetSpec;
import org.zinniaspan.standins.fleet.LocalFleet;

/**
 * With real processes, streams resume after their engine is killed or paused, and a leaving engine
 * gets no new requests.
 */
class StreamResumeProcessTest {

  private static final String ZONE = "recife-a";
  private static final String ENTRY = ZONE + "-1";
  private static final long LEAVING_BOUND_MS = 3_000;
  private static final CallerClient CALLER = new CallerClient(LocalFleet.ORGANISATION_KEY);
  private final Path logs = Path.of("target", "fleet", "stream-resume");
  private LocalFleet fleet;

  @BeforeEach
  void start() throws IOException {
    Files.deleteIfExists(logs.resolve(ENTRY + ".log"));
    String rules = Files.readString(Path.of("..", "config", "placa-limpa", "rules.json"));
    fleet =
        LocalFleet.start(
            new FleetSpec()
                .zone(ZONE, 1)
                .models("counter-3b")
                .engine("engine-1", ZONE, "--ms-per-token", "25")
                .engine("engine-2", ZONE, "--ms-per-token", "25")
                .document("rules", rules),
            logs);
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private CallerResult chat(String prompt) {
    ChatRequest request = new ChatRequest("counter-3b", prompt, Optional.empty(), true);
    return CALLER.chat(fleet.entries().get(ENTRY).callerAddress(), request);
  }

  private InetSocketAddress engine(String name) {
    return fleet.endpoints().get(name).address();
  }

  private int generatedTokens(String engine) {
    String body = LocalFleet.get(engine(engine), "/counts").body();
    return Integer.parseInt(body.replaceFirst(".*\"generated\":(\\d+).*", "$1"));
  }

  private String awaitStreamingEngine(int before1, int before2) {
    LocalFleet.await(
        "more than ten tokens of one engine",
        () ->
            generatedTokens("engine-1") > before1 + 10
                || generatedTokens("engine-2") > before2 + 10);
    return generatedTokens("engine-1") > before1 + 10 ? "engine-1" : "engine-2";
  }

  private long logLineCount(String... parts) {
    try {
      return Files.readAllLines(logs.resolve(ENTRY + ".log")).stream()
          .filter(line -> Arrays.stream(parts).allMatch(line::contains))
          .count();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Test
  void killedEnginesStreamIsResumedWithTheSameText() {
    String prompt = "history of a plate #tokens=80";
    final CallerResult uninterrupted = chat(prompt);
    int before1 = generatedTokens("engine-1");
    int before2 = generatedTokens("engine-2");
    CompletableFuture<CallerResult> interrupted = CompletableFuture.supplyAsync(() -> chat(prompt));
    String serving = awaitStreamingEngine(before1, before2);
    fleet.endpoints().get(serving).process().kill();
    CallerResult resumed = interrupted.join();
    assertThat(uninterrupted.isAnswered()).isTrue();
    assertThat(resumed.isAnswered()).isTrue();
    assertThat(resumed.text()).isEqualTo(uninterrupted.text());
    LocalFleet.await(
        "the attempt-failed event", () -> logLineCount("attempt-failed", "BROKEN", serving) > 0);
    assertThat(logLineCount("attempt-failed", "BROKEN", serving)).isEqualTo(1);
  }

  @Test
  void pausedEnginesStreamIsResumedWithTheSameText() throws IOException {
    String prompt = "page of a town hall #tokens=80";
    final CallerResult uninterrupted = chat(prompt);
    int before1 = generatedTokens("engine-1");
    int before2 = generatedTokens("engine-2");
    CompletableFuture<CallerResult> stalled = CompletableFuture.supplyAsync(() -> chat(prompt));
    String serving = awaitStreamingEngine(before1, before2);
    fleet.endpoints().get(serving).process().pause();
    CallerResult resumed = stalled.join();
    fleet.endpoints().get(serving).process().resume();
    assertThat(resumed.isAnswered()).isTrue();
    assertThat(resumed.text()).isEqualTo(uninterrupted.text());
  }

  @Test
  void leavingEngineGetsNoNewRequestsWhileThePlatformIsDown() {
    fleet.control(fleet.platformAddress(), "down=true");
    final long startMs = System.currentTimeMillis();
    fleet.control(engine("engine-1"), "leaving=true");
    LocalFleet.await("the leaving event", () -> logLineCount("\"leaving\"", "engine-1") > 0);
    assertThat(System.currentTimeMillis() - startMs).isLessThan(LEAVING_BOUND_MS);
    // Log lines are written asynchronously but in order, so all lines before the leaving event
    // exist.
    final long engine1AttemptsBefore = logLineCount("\"attempt\"", "engine-1");
    final long attemptsBefore = logLineCount("\"attempt\"");
    for (int i = 0; i < 6; i++) {
      assertThat(chat("question " + i + " #tokens=2").isAnswered()).isTrue();
    }
    LocalFleet.await("six more attempts", () -> logLineCount("\"attempt\"") >= attemptsBefore + 6);
    assertThat(logLineCount("\"attempt\"", "engine-1")).isEqualTo(engine1AttemptsBefore);
    fleet.control(engine("engine-1"), "leaving=false");
    LocalFleet.await("the stays event", () -> logLineCount("\"stays\"", "engine-1") > 0);
    fleet.endpoints().get("engine-2").process().kill();
    assertThat(chat("back again #tokens=2").isAnswered()).isTrue();
    LocalFleet.await(
        "another attempt at engine-1",
        () -> logLineCount("\"attempt\"", "engine-1") > engine1AttemptsBefore);
  }
}
