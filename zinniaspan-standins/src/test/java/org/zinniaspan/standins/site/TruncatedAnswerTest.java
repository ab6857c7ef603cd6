package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.okResponse;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.request;
import static org.zinniaspan.standins.site.RawServer.write;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.zinniaspan.forwarding.CatalogChanges;
import org.zinniaspan.forwarding.CatalogResult;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.platform.StoreClient;
import org.zinniaspan.transport.BufferingHttpClient;
import org.zinniaspan.transport.Reactor;

/**
 * Answers that are broken off with an orderly close, at each byte of their heads.
 *
 * <p>Guards against an answer that is cut inside its head being passed on, or applied, as a
 * complete one without a body.
 */
@Timeout(60)
class TruncatedAnswerTest {

  private static RawServer.RequestHandler cutAfter(String response, int length) {
    return (request, socket) -> {
      write(socket, response.substring(0, length));
      return false;
    };
  }

  @Nested
  class OfEndpoints {

    private static final String RESPONSE = okResponse("a1", "whole");

    @RegisterExtension final ForwardDaemonFixture daemon = new ForwardDaemonFixture();

    private int requestCount() {
      return daemon.first.requests().size() + daemon.second.requests().size();
    }

    /** Sends a request before answers that are cut after each of their bytes. */
    private void checkEachCut(String request) throws IOException {
      for (int length = 0; length < RESPONSE.length(); length++) {
        daemon.first.setHandler(cutAfter(RESPONSE, length));
        daemon.second.setHandler(cutAfter(RESPONSE, length));
        assertWithMessage("cut after %s bytes", length)
            .that(daemon.call(request))
            .startsWith("HTTP/1.1 502");
      }
    }

    @Test
    void leaveTheOutcomeOfUnsafeRequestsUnknown() throws IOException {
      checkEachCut(request("POST", "/unsafe/x", "", "b"));
      assertThat(requestCount()).isEqualTo(RESPONSE.length());
    }

    @Test
    void areNotPassedOnToSafeRequests() throws IOException {
      checkEachCut(request("GET", "/safe/x", "", ""));
    }
  }

  @Nested
  class OfTheStore {

    private final Closer closer = new Closer();
    private Reactor reactor;
    private RawServer store;
    private StoreClient client;

    @BeforeEach
    void start() throws IOException {
      store = closer.add(new RawServer((request, socket) -> false));
      InetSocketAddress address = Addresses.parse(store.address());
      reactor = closer.add(Reactor.start(() -> {}));
      BufferingHttpClient http = new BufferingHttpClient(reactor, () -> 0, address);
      client = new StoreClient(http, address, 1_000, Map.of());
    }

    @AfterEach
    void stop() {
      closer.close();
    }

    private <T> void checkFailures(String response, Consumer<Consumer<CatalogResult<T>>> call)
        throws Exception {
      for (int length = 0; length < response.length(); length++) {
        store.setHandler(cutAfter(response, length));
        CompletableFuture<CatalogResult<T>> result = new CompletableFuture<>();
        reactor.runLocked(() -> call.accept(result::complete));
        assertWithMessage("cut after %s bytes", length)
            .that(result.get(10, TimeUnit.SECONDS))
            .isInstanceOf(CatalogResult.Failed.class);
      }
      assertThat(store.requests()).hasSize(response.length());
    }

    private void watch(Consumer<CatalogResult<CatalogChanges>> callback) {
      client.watch(40, 1_000, callback);
    }

    private static String json(String status, String body) {
      return RawServer.jsonResponse(status + "\r\nStore-Era: 1", body);
    }

    @Test
    void areNoListWithoutEndpoints() throws Exception {
      checkFailures(
          json("200 OK", "{\"items\":[],\"has_more\":false,\"at\":40}"), client::readEndpoints);
    }

    @Test
    void areNoConfirmationOfTheConfiguration() throws Exception {
      checkFailures(
          json("200 OK", "{\"items\":[],\"has_more\":false,\"at\":40}"), client::readOperatorState);
    }

    @Test
    void areNoChanges() throws Exception {
      checkFailures(json("200 OK", "{\"events\":[],\"at\":41}"), this::watch);
    }

    @Test
    void areNoLossOfTheHistory() throws Exception {
      checkFailures(json("410 Gone", "{}"), this::watch);
    }
  }
}
