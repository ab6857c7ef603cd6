package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReportPollerTest {

  private static final long SECONDS = 20;

  private long nowMs = 100_000;
  private final EndpointDirectory directory = new EndpointDirectory(() -> nowMs);
  private boolean observer = true;
  private final List<String> listened = new ArrayList<>();
  private final List<String> polled = new ArrayList<>();
  private EngineReport report = new EngineReport(0, 0, 1);
  private final ReportPoller poller =
      new ReportPoller(
          directory,
          new EngineReportSource() {
            @Override
            public void read(ListedEndpoint engine, Consumer<Optional<EngineReport>> reply) {
              polled.add(engine.id());
              reply.accept(Optional.ofNullable(report));
            }

            @Override
            public void tick() {
              // The fake source replies immediately, so there is nothing to do.
            }
          },
          () -> nowMs,
          new ZoneCosts("zone-0", Map.of("zone-0", "west", "zone-1", "east")),
          zone -> observer ? 0 : 1,
          (engine, polledReport, requestedMs) -> listened.add(engine.id()));

  private void list(int count) {
    List<ListedEndpoint> engines = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      engines.add(
          new ListedEndpoint(
              "e" + i, "service", "10.0.0.1:80", "zone-" + i % 2, "v1", 64, false, 1));
    }
    directory.replaceAll(engines);
  }

  private int pollsPerSecond() {
    polled.clear();
    for (long end = nowMs + SECONDS * 1_000; nowMs < end; nowMs += 20) {
      poller.poll("service");
    }
    return Math.round((float) polled.size() / SECONDS);
  }

  @Test
  void pollsLoadedEnginesMoreOften() {
    list(4);
    int idle = pollsPerSecond();
    report = new EngineReport(5, 50, 1);
    assertThat(pollsPerSecond()).isAtLeast(3 * idle);
  }

  @Test
  void limitsItsRateInLargeFleets() {
    list(78);
    report = new EngineReport(5, 50, 1);
    assertThat(pollsPerSecond()).isAtMost(20);
  }

  @Test
  void passesItsReportsOn() {
    list(1);
    poller.poll("service");
    assertThat(listened).containsExactly("e0");
  }

  @Nested
  class EnginesThatAnotherVmObserves {

    @Test
    void areNotPolledWhileReportsArrive() {
      observer = false;
      list(4);
      for (long end = nowMs + SECONDS * 1_000; nowMs < end; nowMs += 20) {
        if (nowMs % 400 == 0) {
          directory.ready("service").forEach(engine -> engine.onReport(report, nowMs));
        }
        poller.poll("service");
      }
      assertThat(polled).isEmpty();
    }

    @Test
    void arePolledWhenReportsStayAway() {
      observer = false;
      list(4);
      directory.ready("service").forEach(engine -> engine.onReport(report, nowMs));
      assertThat(pollsPerSecond()).isAtLeast(1);
    }
  }

  @Test
  void countsMissingReportsAsFailures() {
    list(1);
    report = null;
    poller.poll("service");
    assertThat(directory.ready("service").get(0).failures(nowMs)).isAtLeast(1);
  }
}
