package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static org.zinniaspan.standins.site.RawServer.write;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.forwarding.VmLimits;
import org.zinniaspan.forwarding.ZoneCosts;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.platform.HttpDialect;
import org.zinniaspan.platform.ReportClient;
import org.zinniaspan.platform.StoreClient;
import org.zinniaspan.proxy.ForwardDaemon;
import org.zinniaspan.standins.fleet.FreePorts;

/**
 * Tests the request path of a daemon, run in the test process, with a store stand-in and raw
 * servers.
 */
@Timeout(60)
class ForwardDaemonTest {

  private static final String CONFIGURATION =
      """
      {"version":%d,"routes":[
      {"name":"safe","host":"h.example","prefix":"/safe/","route_kind":"safe","timeout_ms":1500,
      "target_latency_ms":100,"priority":1,"service":"app","max_attempts":2},
      {"name":"unsafe","host":"h.example","prefix":"/unsafe/","route_kind":"unsafe",
      "timeout_ms":1500,"target_latency_ms":100,"priority":1,"service":"app","max_attempts":1},
      {"name":"chat","host":"h.example","prefix":"/chat/","route_kind":"streaming",
      "timeout_ms":5000,"target_latency_ms":300,"priority":0,"service":"app","max_attempts":2,
      "resumable":true,"gap_target_ms":200}],
      "services":[{"name":"app","max_connections":50}],
      "tenants":[{"name":"org-1","api_keys":["%s"],"priority":1}]}
      """;

  private static final String STAMP = "X-Zinniaspan-Server-Stamp: s1\r\n";

  private final Closer closer = new Closer();
  private StoreStandIn store;
  private RawServer first;
  private RawServer second;
  private InetSocketAddress listen;
  private InetSocketAddress readyListen;
  private InetSocketAddress metricsListen;

  @BeforeEach
  void start() throws IOException {
    store = closer.add(new StoreStandIn());
    first = closer.add(new RawServer((request, socket) -> false));
    second = closer.add(new RawServer((request, socket) -> false));
    publish(3, "key-1");
    putEndpointEntry("i-1", first, "zone-a");
    putEndpointEntry("i-2", second, "zone-b");
    listen = FreePorts.nextAddress(LocalSite.LISTEN_HOST);
    readyListen = FreePorts.nextAddress(LocalSite.LISTEN_HOST);
    metricsListen = FreePorts.nextAddress(LocalSite.LISTEN_HOST);
    InetSocketAddress address = Addresses.parse(store.address());
    closer.add(
        ForwardDaemon.start(
            new ForwardDaemon.Options(
                listen,
                readyListen,
                Optional.of(metricsListen),
                Optional.empty(),
                List.of(),
                address,
                caller -> new StoreClient(caller, address, 300),
                callers -> new ReportClient(callers, 300),
                new HttpDialect(),
                new ZoneCosts("zone-a", Map.of("zone-a", "west", "zone-b", "east")),
                new PlatformBounds(2_500, 2_400, 2_500, 1_200, 3_000, 0.2, 54, 10_000),
                VmLimits.of(4_096, 330),
                1)));
    awaitReady();
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  private void publish(long version, String key) {
    store.put("op/config", String.format(CONFIGURATION, version, key));
  }

  private void putEndpointEntry(String id, RawServer endpoint, String zone) {
    store.put("servers/" + id, endpointEntry(endpoint, zone, 1));
  }

  private static String endpointEntry(RawServer endpoint, String zone, long startedAtMs) {
    return "{\"service\":\"app\",\"address\":\""
        + endpoint.address()
        + "\",\"zone\":\""
        + zone
        + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"born\":"
        + startedAtMs
        + "}";
  }

  private void awaitReady() throws IOException {
    String response = "";
    while (!response.startsWith("HTTP/1.1 200")) {
      try (RawClient client = new RawClient(readyListen)) {
        client.send("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        response = client.readAll();
      }
    }
  }

  private static String request(String method, String path, String extra, String body) {
    return method
        + ' '
        + path
        + " HTTP/1.1\r\nHost: h.example\r\n"
        + "X-Zinniaspan-Attempt-Id: a1\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n"
        + extra
        + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
        + "\r\n"
        + body;
  }

  private String call(String request) throws IOException {
    try (RawClient client = new RawClient(listen)) {
      client.send(request);
      return client.readAll();
    }
  }

  private static String okResponse(String id, String body) {
    return "HTTP/1.1 200 OK\r\nX-Zinniaspan-Attempt-Id: "
        + id
        + "\r\n"
        + STAMP
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static RawServer.RequestHandler always(String response) {
    return (request, socket) -> {
      write(socket, response);
      return true;
    };
  }

  @Nested
  class Forwarding {

    @Test
    void forwardsTheRequestForItsOrganisationWithoutTheKey() throws IOException {
      first.setHandler(always(okResponse("a1", "done")));
      String response =
          call(
              request(
                  "POST",
                  "/unsafe/x?q=1",
                  "X-Zinniaspan-Tenant: forged\r\nX-Zinniaspan-Hold: 7\r\nX-Own: kept\r\n"
                      + "X-Zinniaspan-Deadline-Ms: 900\r\n",
                  "body"));
      assertThat(response).startsWith("HTTP/1.1 200");
      assertThat(response).contains(STAMP.trim());
      assertThat(response).endsWith("\r\n\r\ndone");
      RawServer.Request seen = first.requests().get(0);
      assertThat(seen.line()).isEqualTo("POST /unsafe/x?q=1 HTTP/1.1");
      assertThat(seen.body()).isEqualTo("body");
      assertThat(seen.header("X-Zinniaspan-Tenant")).isEqualTo("org-1");
      assertThat(seen.header("X-Zinniaspan-Expect-Instance")).isEqualTo("i-1");
      assertThat(seen.header("X-Zinniaspan-Hold")).isEmpty();
      assertThat(seen.header("Authorization")).isEmpty();
      assertThat(seen.header("X-Own")).isEqualTo("kept");
      assertThat(Integer.parseInt(seen.header("X-Zinniaspan-Deadline-Ms"))).isAtMost(900);
    }

    @Test
    void refusesUnknownRoutesAndKeys() throws IOException {
      assertThat(call(request("GET", "/none/", "", ""))).startsWith("HTTP/1.1 404");
      String other = request("GET", "/safe/", "", "").replace("key-1", "key-2");
      assertThat(call(other)).startsWith("HTTP/1.1 401");
    }

    @Test
    void skipsResponsesOfOtherRequests() throws IOException {
      first.setHandler(always(okResponse("a0", "not mine") + okResponse("a1", "mine")));
      String response = call(request("POST", "/unsafe/x", "", "b"));
      assertThat(response).startsWith("HTTP/1.1 200");
      assertThat(response).endsWith("\r\n\r\nmine");
    }

    @Test
    void refusesRequestsWithAmbiguousLength() throws IOException {
      String response =
          call(request("POST", "/unsafe/x", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"));
      assertThat(response).startsWith("HTTP/1.1 400");
      assertThat(first.requests()).isEmpty();
    }
  }

  @Nested
  class Metrics {

    @Test
    void countRequestsByKindAndOutcome() throws IOException {
      first.setHandler(always(okResponse("a1", "done")));
      call(request("GET", "/safe/x", "", ""));
      try (RawClient client = new RawClient(metricsListen)) {
        client.send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        String page = client.readAll();
        assertThat(page)
            .contains(
                "zinniaspan_forwarded_requests_total{kind=\"safe\",outcome=\"answered\","
                    + "status=\"200\"} 1.0");
        assertThat(page).contains("zinniaspan_configuration_version 3.0");
        assertThat(page).contains("zinniaspan_request_seconds_bucket");
      }
    }
  }

  @Nested
  class UnsafeRequests {

    @Test
    void areNotSentAgainAfterTheConnectionBroke() throws IOException {
      first.setHandler((request, socket) -> false);
      second.setHandler(always(okResponse("a1", "second")));
      assertThat(call(request("POST", "/unsafe/x", "", "b"))).startsWith("HTTP/1.1 502");
      assertThat(second.requests()).isEmpty();
    }

    @Test
    void areRefusedWithRetryAfterIfTheEndpointDidNotRunThem() throws IOException {
      first.setHandler(
          always(
              "HTTP/1.1 503 Service Unavailable\r\nX-Zinniaspan-Attempt-Id: a1\r\n"
                  + "X-Zinniaspan-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
      String response = call(request("POST", "/unsafe/x", "", "b"));
      assertThat(response).startsWith("HTTP/1.1 503");
      assertThat(response).contains("Retry-After: ");
    }

    @Test
    void areNotReportedNotRunUnlessTheEndpointStatesIt() throws IOException {
      first.setHandler(
          always(
              "HTTP/1.1 503 Service Unavailable\r\nX-Zinniaspan-Attempt-Id: a1\r\n"
                  + STAMP
                  + "Content-Length: 0\r\n\r\n"));
      assertThat(call(request("POST", "/unsafe/x", "", "b"))).startsWith("HTTP/1.1 502");
    }

    @Test
    void areNotAnsweredWithTruncatedBody() throws IOException {
      first.setHandler(
          (request, socket) -> {
            write(
                socket,
                okResponse("a1", "whole").replace("Content-Length: 5", "Content-Length: 9"));
            return false;
          });
      assertThat(call(request("POST", "/unsafe/x", "", "b"))).startsWith("HTTP/1.1 502");
    }
  }

  @Nested
  class SafeRequests {

    @Test
    void areRetriedAtAnotherEndpointAfterFailure() throws IOException {
      first.setHandler((request, socket) -> false);
      second.setHandler(always(okResponse("a1", "second")));
      assertThat(call(request("GET", "/safe/x", "", ""))).endsWith("\r\n\r\nsecond");
      assertThat(first.requests()).hasSize(1);
    }

    @Test
    void getAnAnswerAtTheTimeoutOfTheirRoute() throws IOException {
      first.setHandler((request, socket) -> true);
      second.setHandler((request, socket) -> true);
      assertThat(call(request("GET", "/safe/x", "", ""))).startsWith("HTTP/1.1 504");
    }
  }

  @Nested
  class Streams {

    private static final String RESPONSE_HEAD =
        "HTTP/1.1 200 OK\r\nX-Zinniaspan-Attempt-Id: a1\r\n"
            + STAMP
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static String event(int id) {
      String text = "id: " + id + "\ndata: t\n\n";
      return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    @Test
    void resumeAtAnotherEndpointWithinOneResponse() throws IOException {
      first.setHandler(
          (request, socket) -> {
            write(socket, RESPONSE_HEAD + event(1) + event(2) + "20\r\nid: 3\nda");
            return false;
          });
      second.setHandler(always(RESPONSE_HEAD + event(3) + event(4) + "0\r\n\r\n"));
      String response = call(request("POST", "/chat/x", "", "b"));
      assertThat(second.requests().get(0).header("Last-Event-Id")).isEqualTo("2");
      assertThat(response.split("id: ")).hasLength(5);
      assertThat(response).endsWith("0\r\n\r\n");
    }

    @Test
    void doNotLookCompleteWhenNoEndpointCanResume() throws IOException {
      first.setHandler(
          (request, socket) -> {
            write(socket, RESPONSE_HEAD + event(1));
            return false;
          });
      second.setHandler((request, socket) -> false);
      String response = call(request("POST", "/chat/x", "", "b"));
      assertThat(response).contains("id: 1");
      assertThat(response).doesNotContain("0\r\n\r\n");
    }

    @Test
    void areCutIfTheResumingEndpointFails() throws IOException {
      first.setHandler(
          (request, socket) -> {
            write(socket, RESPONSE_HEAD + event(1));
            return false;
          });
      second.setHandler(always(okResponse("a1", "failed").replace("200 OK", "500 Failed")));
      String response = call(request("POST", "/chat/x", "", "b"));
      assertThat(response).contains("id: 1");
      assertThat(response).doesNotContain("HTTP/1.1 500");
      assertThat(response).doesNotContain("0\r\n\r\n");
    }

    @Test
    void endAtTheEndpointWhenTheClientLeaves() throws Exception {
      first.setHandler(
          (request, socket) -> {
            write(socket, RESPONSE_HEAD + event(1));
            return true;
          });
      try (RawClient client = new RawClient(listen)) {
        client.send(request("POST", "/chat/x", "", "b"));
        client.readUntil("id: 1");
      }
      assertThat(first.clientClosed().await(5, TimeUnit.SECONDS)).isTrue();
    }
  }

  @Nested
  class EndpointsThatStateTheirLoad {

    private static RawServer.RequestHandler rejecting(String fields) {
      return always(
          "HTTP/1.1 503 Service Unavailable\r\nX-Zinniaspan-Attempt-Id: a1\r\n"
              + "X-Zinniaspan-Not-Executed: 1\r\n"
              + fields
              + "Content-Length: 0\r\n\r\n");
    }

    @Test
    void receiveNothingUntilTheirRetryAfterHasPassed() throws IOException {
      first.setHandler(rejecting("Retry-After: 30\r\n"));
      second.setHandler(always(okResponse("a1", "second")));
      for (int i = 0; i < 6; i++) {
        assertThat(call(request("GET", "/safe/x", "", ""))).endsWith("\r\n\r\nsecond");
      }
      assertThat(first.requests()).hasSize(1);
    }

    @Test
    void receiveFewRequestsAfterRejectionWhileTheyStateRejectionLimit() throws IOException {
      first.setHandler(rejecting("Server-Brittle: 1\r\n"));
      second.setHandler(rejecting("Server-Brittle: 1\r\n"));
      for (int i = 0; i < 8; i++) {
        assertThat(call(request("POST", "/unsafe/x", "", "b"))).startsWith("HTTP/1.1 503");
      }
      assertThat(first.requests().size()).isAtMost(3);
      assertThat(second.requests().size()).isAtMost(3);
    }

    @Test
    void makeTheVmRefuseAtOnceIfAllDo() throws IOException {
      first.setHandler(rejecting("Retry-After: 30\r\n"));
      second.setHandler(rejecting("Retry-After: 30\r\n"));
      for (int i = 0; i < 6; i++) {
        String response = call(request("POST", "/unsafe/x", "", "b"));
        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(response).contains("Retry-After: ");
      }
      assertThat(first.requests().size() + second.requests().size()).isEqualTo(2);
    }
  }

  @Nested
  class LeavingEndpoints {

    @Test
    void receiveNothingOnceTheyHaveSaidSo() throws IOException {
      first.setHandler(
          always(okResponse("a1", "first").replace(STAMP, STAMP + "Server-Leaving: 1\r\n")));
      second.setHandler(always(okResponse("a1", "second")));
      assertThat(call(request("GET", "/safe/x", "", ""))).endsWith("\r\n\r\nfirst");
      for (int i = 0; i < 6; i++) {
        assertThat(call(request("GET", "/safe/x", "", ""))).endsWith("\r\n\r\nsecond");
      }
      assertThat(first.requests()).hasSize(1);
    }

    @Test
    void receiveRequestsAgainOnceTheyHaveRestarted() throws IOException {
      first.setHandler(
          always(okResponse("a1", "first").replace(STAMP, STAMP + "Server-Leaving: 1\r\n")));
      second.setHandler((request, socket) -> false);
      call(request("GET", "/safe/x", "", ""));
      first.setHandler(always(okResponse("a1", "restarted")));
      store.put("servers/i-1", endpointEntry(first, "zone-a", 2));
      String response = "";
      while (!response.endsWith("restarted")) {
        response = call(request("GET", "/safe/x", "", ""));
      }
      assertThat(response).startsWith("HTTP/1.1 200");
    }
  }

  @Nested
  class RestoredStore {

    @Test
    void endpointsWrittenAfterwardsAreUsed() throws IOException {
      first.setHandler(always(okResponse("a1", "first")));
      second.setHandler(always(okResponse("a1", "second")));
      StoreStandIn.Copy copy = store.copy();
      for (int i = 0; i < 20; i++) {
        publish(4 + i, "key-1");
      }
      assertThat(call(request("GET", "/safe/x", "", ""))).startsWith("HTTP/1.1 200");
      store.restore(copy);
      store.delete("servers/i-1");
      String response = "";
      while (!response.endsWith("\r\n\r\nsecond")) {
        response = call(request("GET", "/safe/x", "", ""));
        assertThat(response).startsWith("HTTP/1.1 200");
      }
    }
  }

  @Nested
  class Keys {

    @Test
    void areNotAcceptedOnceTheConfigurationCannotBeConfirmed() throws IOException {
      first.setHandler(always(okResponse("a1", "done")));
      assertThat(call(request("GET", "/safe/x", "", ""))).startsWith("HTTP/1.1 200");
      store.setMode(StoreStandIn.Mode.SILENT);
      String response = "HTTP/1.1 200";
      while (response.startsWith("HTTP/1.1 200")) {
        response = call(request("GET", "/safe/x", "", ""));
      }
      assertThat(response).startsWith("HTTP/1.1 503");
      assertThat(response).contains("Retry-After: ");
    }

    @Test
    void areDirectedToAnotherVmAtOnceWhileThePlatformFails() throws IOException {
      first.setHandler(always(okResponse("a1", "done")));
      store.setMode(StoreStandIn.Mode.BUSY);
      String keptOpen = request("GET", "/safe/x", "", "").replace("Connection: close\r\n", "");
      String response = "HTTP/1.1 200";
      long startMs = 0;
      while (response.startsWith("HTTP/1.1 200")) {
        startMs = System.nanoTime() / 1_000_000;
        try (RawClient client = new RawClient(listen)) {
          client.send(keptOpen);
          response = client.readUntil("\r\n\r\n");
        }
      }
      assertThat(response).startsWith("HTTP/1.1 503");
      assertThat(response).contains("Retry-After: 0.01");
      assertThat(response).contains("Connection: close");
      assertThat(System.nanoTime() / 1_000_000 - startMs).isLessThan(400);
    }

    @Test
    void areRefusedOnceTheConfigurationRevokesThem() throws IOException {
      first.setHandler(always(okResponse("a1", "done")));
      publish(4, "key-9");
      String response = "HTTP/1.1 200";
      while (response.startsWith("HTTP/1.1 200")) {
        response = call(request("GET", "/safe/x", "", ""));
      }
      assertThat(response).startsWith("HTTP/1.1 401");
    }
  }
}
