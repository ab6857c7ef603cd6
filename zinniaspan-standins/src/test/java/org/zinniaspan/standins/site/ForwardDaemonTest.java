package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.STAMP;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.always;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.okResponse;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.request;
import static org.zinniaspan.standins.site.RawServer.write;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests the request path of a daemon, run in the test process, with a store stand-in and raw
 * servers.
 */
@Timeout(60)
class ForwardDaemonTest {

  private final ForwardDaemonFixture daemon = new ForwardDaemonFixture();

  @BeforeEach
  void start() throws IOException {
    daemon.start();
  }

  @AfterEach
  void stop() {
    daemon.close();
  }

  @Nested
  class Forwarding {

    @Test
    void forwardsTheRequestForItsOrganisationWithoutTheKey() throws IOException {
      daemon.first.setHandler(always(okResponse("a1", "done")));
      String response =
          daemon.call(
              request(
                  "POST",
                  "/unsafe/x?q=1",
                  "X-Zinniaspan-Tenant: forged\r\nX-Zinniaspan-Hold: 7\r\nX-Own: kept\r\n"
                      + "X-Zinniaspan-Deadline-Ms: 900\r\n",
                  "body"));
      assertThat(response).startsWith("HTTP/1.1 200");
      assertThat(response).contains(STAMP.trim());
      assertThat(response).endsWith("\r\n\r\ndone");
      RawServer.Request seen = daemon.first.requests().get(0);
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
      assertThat(daemon.call(request("GET", "/none/", "", ""))).startsWith("HTTP/1.1 404");
      String other = request("GET", "/safe/", "", "").replace("key-1", "key-2");
      assertThat(daemon.call(other)).startsWith("HTTP/1.1 401");
    }

    /** Guards against the first part of a path being taken for a host. */
    @Test
    void routesByThePathAsItWasSent() throws IOException {
      daemon.first.setHandler(always(okResponse("a1", "done")));
      for (String path : new String[] {"//shop/unsafe/x", "///unsafe/x", "//unsafe/x"}) {
        assertThat(daemon.call(request("POST", path, "", "b"))).startsWith("HTTP/1.1 404");
      }
      assertThat(daemon.first.requests()).isEmpty();
      for (String path : new String[] {"/unsafe//x", "/unsafe/x#y", "/unsafe/%2Fx?q=//z"}) {
        assertThat(daemon.call(request("POST", path, "", "b"))).startsWith("HTTP/1.1 200");
        int last = daemon.first.requests().size() - 1;
        assertThat(daemon.first.requests().get(last).line())
            .isEqualTo("POST " + path + " HTTP/1.1");
      }
      String absolute = request("POST", "http://h.example/unsafe/x", "", "b");
      assertThat(daemon.call(absolute)).startsWith("HTTP/1.1 200");
      assertThat(daemon.first.requests().get(3).line()).isEqualTo("POST /unsafe/x HTTP/1.1");
    }

    @Test
    void skipsResponsesOfOtherRequests() throws IOException {
      daemon.first.setHandler(always(okResponse("a0", "not mine") + okResponse("a1", "mine")));
      String response = daemon.call(request("POST", "/unsafe/x", "", "b"));
      assertThat(response).startsWith("HTTP/1.1 200");
      assertThat(response).endsWith("\r\n\r\nmine");
    }

    @Test
    void refusesRequestsWithAmbiguousLength() throws IOException {
      String response =
          daemon.call(request("POST", "/unsafe/x", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"));
      assertThat(response).startsWith("HTTP/1.1 400");
      assertThat(daemon.first.requests()).isEmpty();
    }
  }

  @Nested
  class Metrics {

    @Test
    void countRequestsByKindAndOutcome() throws IOException {
      daemon.first.setHandler(always(okResponse("a1", "done")));
      daemon.call(request("GET", "/safe/x", "", ""));
      try (RawClient client = new RawClient(daemon.metricsListen)) {
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
      daemon.first.setHandler((request, socket) -> false);
      daemon.second.setHandler(always(okResponse("a1", "second")));
      assertThat(daemon.call(request("POST", "/unsafe/x", "", "b"))).startsWith("HTTP/1.1 502");
      assertThat(daemon.second.requests()).isEmpty();
    }

    @Test
    void areRefusedWithRetryAfterIfTheEndpointDidNotRunThem() throws IOException {
      daemon.first.setHandler(
          always(
              "HTTP/1.1 503 Service Unavailable\r\nX-Zinniaspan-Attempt-Id: a1\r\n"
                  + "X-Zinniaspan-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
      String response = daemon.call(request("POST", "/unsafe/x", "", "b"));
      assertThat(response).startsWith("HTTP/1.1 503");
      assertThat(response).contains("Retry-After: ");
    }

    @Test
    void areNotReportedNotRunUnlessTheEndpointStatesIt() throws IOException {
      daemon.first.setHandler(
          always(
              "HTTP/1.1 503 Service Unavailable\r\nX-Zinniaspan-Attempt-Id: a1\r\n"
                  + STAMP
                  + "Content-Length: 0\r\n\r\n"));
      assertThat(daemon.call(request("POST", "/unsafe/x", "", "b"))).startsWith("HTTP/1.1 502");
    }

    @Test
    void areNotAnsweredWithTruncatedBody() throws IOException {
      daemon.first.setHandler(
          (request, socket) -> {
            write(
                socket,
                okResponse("a1", "whole").replace("Content-Length: 5", "Content-Length: 9"));
            return false;
          });
      assertThat(daemon.call(request("POST", "/unsafe/x", "", "b"))).startsWith("HTTP/1.1 502");
    }
  }

  @Nested
  class SafeRequests {

    @Test
    void areRetriedAtAnotherEndpointAfterFailure() throws IOException {
      daemon.first.setHandler((request, socket) -> false);
      daemon.second.setHandler(always(okResponse("a1", "second")));
      assertThat(daemon.call(request("GET", "/safe/x", "", ""))).endsWith("\r\n\r\nsecond");
      assertThat(daemon.first.requests()).hasSize(1);
    }

    @Test
    void getAnAnswerAtTheTimeoutOfTheirRoute() throws IOException {
      daemon.first.setHandler((request, socket) -> true);
      daemon.second.setHandler((request, socket) -> true);
      assertThat(daemon.call(request("GET", "/safe/x", "", ""))).startsWith("HTTP/1.1 504");
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
      daemon.first.setHandler(
          (request, socket) -> {
            write(socket, RESPONSE_HEAD + event(1) + event(2) + "20\r\nid: 3\nda");
            return false;
          });
      daemon.second.setHandler(always(RESPONSE_HEAD + event(3) + event(4) + "0\r\n\r\n"));
      String response = daemon.call(request("POST", "/chat/x", "", "b"));
      assertThat(daemon.second.requests().get(0).header("Last-Event-Id")).isEqualTo("2");
      assertThat(response.split("id: ")).hasLength(5);
      assertThat(response).endsWith("0\r\n\r\n");
    }

    @Test
    void doNotLookCompleteWhenNoEndpointCanResume() throws IOException {
      daemon.first.setHandler(
          (request, socket) -> {
            write(socket, RESPONSE_HEAD + event(1));
            return false;
          });
      daemon.second.setHandler((request, socket) -> false);
      String response = daemon.call(request("POST", "/chat/x", "", "b"));
      assertThat(response).contains("id: 1");
      assertThat(response).doesNotContain("0\r\n\r\n");
    }

    @Test
    void areCutIfTheResumingEndpointFails() throws IOException {
      daemon.first.setHandler(
          (request, socket) -> {
            write(socket, RESPONSE_HEAD + event(1));
            return false;
          });
      daemon.second.setHandler(always(okResponse("a1", "failed").replace("200 OK", "500 Failed")));
      String response = daemon.call(request("POST", "/chat/x", "", "b"));
      assertThat(response).contains("id: 1");
      assertThat(response).doesNotContain("HTTP/1.1 500");
      assertThat(response).doesNotContain("0\r\n\r\n");
    }

    @Test
    void endAtTheEndpointWhenTheClientLeaves() throws Exception {
      daemon.first.setHandler(
          (request, socket) -> {
            write(socket, RESPONSE_HEAD + event(1));
            return true;
          });
      try (RawClient client = new RawClient(daemon.listen)) {
        client.send(request("POST", "/chat/x", "", "b"));
        client.readUntil("id: 1");
      }
      assertThat(daemon.first.clientClosed().await(5, TimeUnit.SECONDS)).isTrue();
    }
  }

  @Nested
  class RestoredStore {

    @Test
    void endpointsWrittenAfterwardsAreUsed() throws IOException {
      daemon.first.setHandler(always(okResponse("a1", "first")));
      daemon.second.setHandler(always(okResponse("a1", "second")));
      StoreStandIn.Copy copy = daemon.store.copy();
      for (int i = 0; i < 20; i++) {
        daemon.publish(4 + i, "key-1");
      }
      assertThat(daemon.call(request("GET", "/safe/x", "", ""))).startsWith("HTTP/1.1 200");
      daemon.store.restore(copy);
      daemon.store.delete("servers/i-1");
      String response = "";
      while (!response.endsWith("\r\n\r\nsecond")) {
        response = daemon.call(request("GET", "/safe/x", "", ""));
        assertThat(response).startsWith("HTTP/1.1 200");
      }
    }
  }

  @Nested
  class Keys {

    @Test
    void areNotAcceptedOnceTheConfigurationCannotBeConfirmed() throws IOException {
      daemon.first.setHandler(always(okResponse("a1", "done")));
      assertThat(daemon.call(request("GET", "/safe/x", "", ""))).startsWith("HTTP/1.1 200");
      daemon.store.setMode(StoreStandIn.Mode.SILENT);
      String response = "HTTP/1.1 200";
      while (response.startsWith("HTTP/1.1 200")) {
        response = daemon.call(request("GET", "/safe/x", "", ""));
      }
      assertThat(response).startsWith("HTTP/1.1 503");
      assertThat(response).contains("Retry-After: ");
    }

    @Test
    void areDirectedToAnotherVmAtOnceWhileThePlatformFails() throws IOException {
      daemon.first.setHandler(always(okResponse("a1", "done")));
      daemon.store.setMode(StoreStandIn.Mode.BUSY);
      String keptOpen = request("GET", "/safe/x", "", "").replace("Connection: close\r\n", "");
      String response = "HTTP/1.1 200";
      long startMs = 0;
      while (response.startsWith("HTTP/1.1 200")) {
        startMs = System.nanoTime() / 1_000_000;
        try (RawClient client = new RawClient(daemon.listen)) {
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
      daemon.first.setHandler(always(okResponse("a1", "done")));
      daemon.publish(4, "key-9");
      String response = "HTTP/1.1 200";
      while (response.startsWith("HTTP/1.1 200")) {
        response = daemon.call(request("GET", "/safe/x", "", ""));
      }
      assertThat(response).startsWith("HTTP/1.1 401");
    }
  }
}
