package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.STAMP;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.always;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.okResponse;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.request;
import static org.zinniaspan.standins.site.RawServer.write;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * A daemon with an endpoint in its own zone and region, and one in another zone of another region,
 * while home regions change and zones are evacuated.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EndpointEligibilityDaemonTest {

  private static final String NO_HOME = "{\"error\":\"no-endpoint-in-home-regions\"}";

  @RegisterExtension final ForwardDaemonFixture daemon = new ForwardDaemonFixture();

  private final CountDownLatch release = new CountDownLatch(1);

  @BeforeEach
  void start() {
    daemon.first.setHandler(always(okResponse("a1", "first")));
    daemon.second.setHandler(always(okResponse("a1", "second")));
  }

  private String call() throws IOException {
    return daemon.call(request("GET", "/safe/x", "", ""));
  }

  /** Repeats a request until its response has a body; the next ones have to have it too. */
  private void awaitBody(String body) throws IOException {
    String response = call();
    while (!response.endsWith("\r\n\r\n" + body)) {
      response = call();
    }
    for (int i = 0; i < 20; i++) {
      assertThat(call()).endsWith("\r\n\r\n" + body);
    }
  }

  /** Lets the first endpoint hold the next request after some bytes, and end it when released. */
  private void holdNext(String begin, String end) {
    daemon.first.setHandler(
        (request, socket) -> {
          daemon.first.setHandler(always(okResponse("a1", "first")));
          write(socket, begin);
          try {
            release.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          write(socket, end);
          return false;
        });
  }

  @Nested
  class EvacuatedZone {

    @Test
    void receivesNothingUntilItsReturn() throws IOException {
      daemon.store.put("op/evacuate/zone-a", "{}");
      awaitBody("second");
      int before = daemon.first.requests().size();
      awaitBody("second");
      assertThat(daemon.first.requests()).hasSize(before);
      daemon.store.delete("op/evacuate/zone-a");
      awaitFirst();
    }

    private void awaitFirst() throws IOException {
      while (!call().endsWith("\r\n\r\nfirst")) {
        assertThat(call()).startsWith("HTTP/1.1 200");
      }
    }

    @Test
    void leavesRequestsUnrunIfItIsTheLast() throws IOException {
      daemon.store.put("op/evacuate/zone-a", "{}");
      daemon.store.put("op/evacuate/zone-b", "odd");
      awaitBody("{\"error\":\"zones-evacuated\"}");
      assertThat(call()).startsWith("HTTP/1.1 503");
      assertThat(call()).contains("Retry-After: ");
    }

    @Test
    void staysEvacuatedWhileTheStoreForgetsItsHistory() throws IOException {
      daemon.store.put("op/evacuate/zone-a", "{}");
      awaitBody("second");
      daemon.store.setMode(StoreStandIn.Mode.FORGETFUL);
      daemon.store.put("op/evacuate/unknown", "{}");
      awaitBody("second");
      daemon.store.delete("op/evacuate/zone-a");
      awaitFirst();
    }
  }

  @Nested
  class Homes {

    @Test
    void bindAllRequests() throws IOException {
      daemon.publishWithHomes(4, "[\"east\"]");
      awaitBody("second");
    }

    @Test
    void bindRetries() throws IOException {
      daemon.publishWithHomes(4, "[\"east\"]");
      awaitBody("second");
      final int before = daemon.first.requests().size();
      daemon.second.setHandler((request, socket) -> false);
      assertThat(call()).startsWith("HTTP/1.1 502");
      assertThat(daemon.first.requests()).hasSize(before);
    }

    @Test
    void withoutEndpointLeaveRequestsUnrun() throws IOException {
      daemon.publishWithHomes(4, "[\"north\"]");
      awaitBody(NO_HOME);
      assertThat(call()).startsWith("HTTP/1.1 503");
      assertThat(call()).contains("Retry-After: ");
      daemon.publishWithHomes(5, "7");
      daemon.publishWithHomes(6, "[]");
      awaitServed();
    }

    private void awaitServed() throws IOException {
      String response = call();
      while (!response.startsWith("HTTP/1.1 200")) {
        assertThat(response).endsWith(NO_HOME);
        response = call();
      }
    }

    @Test
    void ofTheNewestConfigurationBindRetriesOfEarlierRequests() throws IOException {
      holdNext("", "");
      try (RawClient client = new RawClient(daemon.listen)) {
        client.send(request("GET", "/safe/x", "", ""));
        awaitHeld();
        daemon.publishWithHomes(4, "[\"north\"]");
        awaitBody(NO_HOME);
        final int before = daemon.second.requests().size();
        release.countDown();
        String response = client.readAll();
        assertThat(response).startsWith("HTTP/1.1 502");
        assertThat(response).endsWith(NO_HOME);
        assertThat(daemon.second.requests()).hasSize(before);
      }
    }

    @Test
    void thatMoveAwayLetOpenStreamsEnd() throws IOException {
      String head =
          "HTTP/1.1 200 OK\r\nX-Zinniaspan-Attempt-Id: a1\r\n"
              + STAMP
              + "Content-Type: text/event-stream\r\n\r\n";
      holdNext(head + "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n");
      try (RawClient client = new RawClient(daemon.listen)) {
        client.send(request("POST", "/chat/x", "", "b"));
        awaitHeld();
        daemon.publishWithHomes(4, "[\"north\"]");
        awaitBody(NO_HOME);
        release.countDown();
        assertThat(client.readAll()).contains("id: 2\ndata: b\n\n");
      }
    }

    private void awaitHeld() {
      while (daemon.first.requests().isEmpty()) {
        Thread.onSpinWait();
      }
    }
  }
}
