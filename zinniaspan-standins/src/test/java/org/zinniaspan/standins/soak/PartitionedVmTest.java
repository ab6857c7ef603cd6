package org.zinniaspan.standins.soak;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.standins.fleet.LocalFleet;
import org.zinniaspan.standins.site.EndpointStandIn;
import org.zinniaspan.standins.site.LocalSite;
import org.zinniaspan.standins.site.RawClient;
import org.zinniaspan.standins.site.SiteClient;

/** A VM that reaches no endpoint must serve its clients through another VM. */
@Timeout(90)
class PartitionedVmTest {

  private static final int CALLS = 10;

  @TempDir Path logs;

  private final Closer closer = new Closer();
  private final SiteClient client = new SiteClient("call", "key-1");
  private LocalSite site;
  private SoakDaemon partitioned;
  private SoakDaemon other;

  @BeforeEach
  void start() throws IOException {
    site = closer.add(new LocalSite(logs));
    for (int number = 1; number <= 4; number++) {
      site.addEndpoint("i-" + number, "zone-a", 30);
    }
    site.publishConfiguration(List.of("key-1"));
    partitioned = closer.add(new SoakDaemon(site, "vm-1", "zone-a"));
    other = closer.add(new SoakDaemon(site, "vm-2", "zone-b"));
    for (SoakDaemon daemon : List.of(partitioned, other)) {
      daemon.awaitReady();
      awaitMetric(daemon, "zinniaspan_fleet_vms 2.0");
      awaitMetric(daemon, "zinniaspan_endpoints 4.0");
    }
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  private static void awaitMetric(SoakDaemon daemon, String line) {
    LocalFleet.await(
        line,
        () -> LocalFleet.get(daemon.process().metricsAddress(), "/metrics").body().contains(line));
  }

  private SiteClient.RawResponse call(String method, String path) {
    try {
      return client.call(partitioned.callerAddress(), method, path, "");
    } catch (IOException e) {
      return new SiteClient.RawResponse("none", "");
    }
  }

  private void awaitServed(String method, String path) {
    LocalFleet.await(path + " is served", () -> call(method, path).isCompleteSuccess());
  }

  @Test
  void servesEachKindOfRequestThroughAnotherVm() throws IOException {
    partitioned.setEndpointMode(FaultInjectingProxy.Mode.PARTITION);
    awaitServed("GET", "/safe/x");
    for (int i = 0; i < CALLS; i++) {
      assertThat(call("GET", "/safe/x").isCompleteSuccess()).isTrue();
      assertThat(call("POST", "/chat/x").isCompleteSuccess()).isTrue();
      SiteClient.RawResponse unsafe = call("POST", "/unsafe/x");
      assertThat(unsafe.isCompleteSuccess()).isTrue();
      assertThat(executionsOf(unsafe.attemptId())).isEqualTo(1);
    }
  }

  private long executionsOf(String attemptId) {
    return site.endpoints().values().stream()
        .flatMap(endpoint -> endpoint.executions().stream())
        .filter(execution -> execution.attemptId().equals(attemptId))
        .count();
  }

  @Test
  void sendsNoRequestToMoreEndpointsThanItsRouteAllows() throws IOException {
    SoakDaemon third = closer.add(new SoakDaemon(site, "vm-3", "zone-c"));
    third.awaitReady();
    awaitMetric(partitioned, "zinniaspan_fleet_vms 3.0");
    awaitMetric(third, "zinniaspan_endpoints 4.0");
    partitioned.setEndpointMode(FaultInjectingProxy.Mode.PARTITION);
    awaitServed("GET", "/safe/x");
    site.endpoints().values().forEach(e -> e.setFault(EndpointStandIn.Fault.CUT));
    SiteClient.RawResponse broken = call("POST", "/chat/x");
    assertThat(broken.isCompleteSuccess()).isFalse();
    assertThat(executionsOf(broken.attemptId())).isEqualTo(2);
  }

  @Test
  void completesStreamsThatBeganBefore() throws IOException {
    String attemptId = client.nextAttemptId();
    try (RawClient stream = new RawClient(partitioned.callerAddress())) {
      stream.send(client.formatRequest(attemptId, "POST", "/chat/x", "Connection: close\r\n"));
      String begin = stream.readUntil("id: 1");
      partitioned.setEndpointMode(FaultInjectingProxy.Mode.PARTITION);
      String whole = begin + stream.readAll();
      assertThat(whole).contains("id: " + 6);
      assertThat(whole).endsWith("0\r\n\r\n");
    }
  }

  @Test
  void reachesEndpointsItselfAgainAfterwards() throws IOException {
    partitioned.setEndpointMode(FaultInjectingProxy.Mode.PARTITION);
    awaitServed("GET", "/safe/x");
    partitioned.setEndpointMode(FaultInjectingProxy.Mode.PASS);
    awaitMetric(partitioned, "zinniaspan_endpoints_reachable 1.0");
    other.kill();
    SiteClient.RawResponse response = call("POST", "/unsafe/x");
    assertThat(response.isCompleteSuccess()).isTrue();
  }

  @Test
  void refusesAtOnceWhileNoVmReachesAnEndpoint() throws IOException {
    partitioned.setEndpointMode(FaultInjectingProxy.Mode.PARTITION);
    other.setEndpointMode(FaultInjectingProxy.Mode.PARTITION);
    LocalFleet.await(
        "refusal", () -> call("POST", "/unsafe/x").text().contains("no-path-to-endpoints"));
    SiteClient.RawResponse refusal = call("POST", "/unsafe/x");
    assertThat(refusal.status()).isEqualTo(503);
    assertThat(refusal.text()).contains("Retry-After: ");
  }
}
