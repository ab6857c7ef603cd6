package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.STAMP;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.always;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.okResponse;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.request;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Endpoints that state in their responses when they take requests. */
@Timeout(60)
class EndpointStatementsTest {

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
  class OverloadedEndpoints {

    private static RawServer.RequestHandler rejecting(String fields) {
      return always(
          "HTTP/1.1 503 Service Unavailable\r\nX-Zinniaspan-Attempt-Id: a1\r\n"
              + "X-Zinniaspan-Not-Executed: 1\r\n"
              + fields
              + "Content-Length: 0\r\n\r\n");
    }

    @Test
    void receiveNothingUntilTheirRetryAfterHasPassed() throws IOException {
      daemon.first.setHandler(rejecting("Retry-After: 30\r\n"));
      daemon.second.setHandler(always(okResponse("a1", "second")));
      for (int i = 0; i < 6; i++) {
        assertThat(daemon.call(request("GET", "/safe/x", "", ""))).endsWith("\r\n\r\nsecond");
      }
      assertThat(daemon.first.requests()).hasSize(1);
    }

    @Test
    void receiveFewRequestsAfterRejectionWhileTheyStateRejectionLimit() throws IOException {
      daemon.first.setHandler(rejecting("Server-Brittle: 1\r\n"));
      daemon.second.setHandler(rejecting("Server-Brittle: 1\r\n"));
      for (int i = 0; i < 8; i++) {
        assertThat(daemon.call(request("POST", "/unsafe/x", "", "b"))).startsWith("HTTP/1.1 503");
      }
      assertThat(daemon.first.requests().size()).isAtMost(3);
      assertThat(daemon.second.requests().size()).isAtMost(3);
    }

    @Test
    void makeTheVmRefuseAtOnceIfAllDo() throws IOException {
      daemon.first.setHandler(rejecting("Retry-After: 30\r\n"));
      daemon.second.setHandler(rejecting("Retry-After: 30\r\n"));
      for (int i = 0; i < 6; i++) {
        String response = daemon.call(request("POST", "/unsafe/x", "", "b"));
        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(response).contains("Retry-After: ");
      }
      assertThat(daemon.first.requests().size() + daemon.second.requests().size()).isEqualTo(2);
    }
  }

  @Nested
  class LeavingEndpoints {

    @Test
    void receiveNothingOnceTheyHaveSaidSo() throws IOException {
      daemon.first.setHandler(
          always(okResponse("a1", "first").replace(STAMP, STAMP + "Server-Leaving: 1\r\n")));
      daemon.second.setHandler(always(okResponse("a1", "second")));
      assertThat(daemon.call(request("GET", "/safe/x", "", ""))).endsWith("\r\n\r\nfirst");
      for (int i = 0; i < 6; i++) {
        assertThat(daemon.call(request("GET", "/safe/x", "", ""))).endsWith("\r\n\r\nsecond");
      }
      assertThat(daemon.first.requests()).hasSize(1);
    }

    @Test
    void receiveRequestsAgainOnceTheyHaveRestarted() throws IOException {
      daemon.first.setHandler(
          always(okResponse("a1", "first").replace(STAMP, STAMP + "Server-Leaving: 1\r\n")));
      daemon.second.setHandler((request, socket) -> false);
      daemon.call(request("GET", "/safe/x", "", ""));
      daemon.first.setHandler(always(okResponse("a1", "restarted")));
      daemon.store.put(
          "servers/i-1", ForwardDaemonFixture.endpointEntry(daemon.first, "zone-a", 2));
      String response = "";
      while (!response.endsWith("restarted")) {
        response = daemon.call(request("GET", "/safe/x", "", ""));
      }
      assertThat(response).startsWith("HTTP/1.1 200");
    }
  }
}
