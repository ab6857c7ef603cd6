package org.zinniaspan.standins;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.zinniaspan.configuration.ConfigurationFeed;
import org.zinniaspan.membership.RendezvousHash;
import org.zinniaspan.standins.caller.CallerClient;
import org.zinniaspan.standins.caller.CallerClient.ChatRequest;
import org.zinniaspan.standins.caller.CallerResult;
import org.zinniaspan.standins.fleet.FleetSpec;
import org.zinniaspan.standins.fleet.LocalFleet;

/**
 * A planned stop (SIGTERM) of entry VMs under load interrupts no running request and loses no
 * request that arrives during the stop.
 */
class PlannedStopProcessTest {

  private static final String ZONE = "recife-a";
  private static final String MODEL = "counter-3b";
  private static LocalFleet fleet;

  @BeforeAll
  static void start() throws IOException {
    String rules = Files.readString(Path.of("..", "config", "placa-limpa", "rules.json"));
    fleet =
        LocalFleet.start(
            new FleetSpec()
                .zone(ZONE, 5)
                .models(MODEL)
                .engine("engine-1", ZONE)
                .engine("engine-2", ZONE)
                .service("app-1", ZONE, "app")
                .entryFlags("--drain-grace-ms", "1000")
                .document("rules", rules),
            Path.of("target", "fleet", "planned-stop"));
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  private static LocalFleet.EntryProcess running(int number) {
    return fleet.entries().values().stream()
        .filter(entry -> entry.process().isAlive())
        .skip(number)
        .findFirst()
        .orElseThrow();
  }

  @Test
  void roleOwnerAndAnotherVmStopInTurnUnderLoad() throws Exception {
    List<String> names = List.copyOf(fleet.entries().keySet());
    String owner = RendezvousHash.ranked(ConfigurationFeed.ROLE, names, 1).get(0);
    try (LoadBalancedCallers callers = new LoadBalancedCallers(fleet, 6, MODEL)) {
      LocalFleet.await("first answers", () -> callers.answeredCount.get() > 20);
      stopAndAwait(fleet.entries().get(owner));
      stopAndAwait(running(0));
      int before = callers.answeredCount.get();
      LocalFleet.await("answers after the stops", () -> callers.answeredCount.get() > before + 20);
      callers.close();
      System.out.println("answered " + callers.answeredCount + ", retried " + callers.retryCount);
      assertThat(callers.failedResults).isEmpty();
    }
  }

  private static void stopAndAwait(LocalFleet.EntryProcess entry) {
    entry.process().terminate();
    LocalFleet.await(
        "not ready", () -> LocalFleet.get(entry.adminAddress(), "/readyz").status() != 200);
    assertThat(entry.process().awaitExit(20)).isTrue();
    assertThat(entry.process().exitCode()).isEqualTo(0);
  }

  @Test
  void idleConnectionIsAnsweredDuringTheStopAndEndsCleanly() throws Exception {
    LocalFleet.EntryProcess entry = running(0);
    CompletableFuture<CallerResult> stream =
        CompletableFuture.supplyAsync(() -> longStream(entry.callerAddress()));
    try (Socket used = open(entry.callerAddress());
        Socket idle = open(entry.callerAddress())) {
      listModels(used);
      listModels(idle);
      entry.process().terminate();
      LocalFleet.await(
          "not ready", () -> LocalFleet.get(entry.adminAddress(), "/readyz").status() == 503);
      assertThat(listModels(used)).startsWith("http/1.1 ");
      assertThat(idle.getInputStream().read()).isEqualTo(-1);
      assertThat(stream.join().isAnswered()).isTrue();
      assertThat(entry.process().awaitExit(20)).isTrue();
      assertThat(entry.process().exitCode()).isEqualTo(0);
    }
  }

  /** Sends a request whose response takes longer than the drain grace and all waits of the stop. */
  private static CallerResult longStream(InetSocketAddress entry) {
    ChatRequest request = new ChatRequest(MODEL, "x #tokens=600", Optional.of("dossier"), true);
    return new CallerClient(LocalFleet.ORGANISATION_KEY).chat(entry, request);
  }

  private static Socket open(InetSocketAddress address) throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(20_000);
    return socket;
  }

  /** Requests the model list on the given connection and returns the complete response. */
  private static String listModels(Socket socket) throws IOException {
    String request =
        "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
            + LocalFleet.ORGANISATION_KEY
            + "\r\n\r\n";
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    StringBuilder response = new StringBuilder();
    while (response.indexOf("\r\n\r\n") < 0) {
      response.append((char) socket.getInputStream().read());
    }
    String head = response.toString().toLowerCase(Locale.ROOT);
    int length = Integer.parseInt(head.split("content-length: ")[1].split("\r\n")[0]);
    byte[] body = socket.getInputStream().readNBytes(length);
    return head + new String(body, StandardCharsets.UTF_8);
  }
}
