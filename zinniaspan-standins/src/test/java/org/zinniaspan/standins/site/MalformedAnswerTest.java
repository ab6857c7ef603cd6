package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.STAMP;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.always;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.okResponse;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.request;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.zinniaspan.forwarding.CatalogChanges;
import org.zinniaspan.forwarding.CatalogResult;
import org.zinniaspan.forwarding.EngineReport;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.platform.ReportClient;
import org.zinniaspan.platform.StoreClient;
import org.zinniaspan.transport.BufferingHttpClient;
import org.zinniaspan.transport.Reactor;

/** Guards against bytes that are no answer by their head or status being used as one. */
@Timeout(60)
class MalformedAnswerTest {

  @Nested
  class OfEndpoints {

    @RegisterExtension final ForwardDaemonFixture daemon = new ForwardDaemonFixture();

    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/1.1 000 OK|",
          "HTTP/1.1 600 Odd|",
          "HTTP/1.1 999 Odd|",
          "HTTP/1.1 200 OK|X Name: v|",
          "HTTP/1.1 200 OK|X-\2Name: v|",
          "HTTP/1.1 200 OK|Content-\2Length: 4|",
          "HTTP/1.1 200 OK|X-Name: a\0|"
        })
    void areNotPassedOn(String head) throws IOException {
      String lines = head.replace("|", "\r\n") + "X-Zinniaspan-Attempt-Id: a1\r\n" + STAMP;
      daemon.first.setHandler(always(lines + "Content-Length: 4\r\n\r\nbody"));
      daemon.second.setHandler(always(okResponse("a1", "id: 1\ndata: second\n\n")));
      long startMs = System.currentTimeMillis();
      assertThat(daemon.call(request("POST", "/unsafe/x", "", "b"))).startsWith("HTTP/1.1 502");
      assertThat(daemon.call(request("GET", "/safe/x", "", ""))).contains("second");
      assertThat(daemon.call(request("POST", "/chat/x", "", "b"))).contains("second");
      assertThat(System.currentTimeMillis() - startMs).isLessThan(1_500);
      assertThat(daemon.first.requests()).isNotEmpty();
    }
  }

  @Nested
  class OfThePlatform {

    /** Above the largest answer that is buffered, and what the sockets hold. */
    private static final int MAX_BYTES = 24 << 20;

    private final Closer closer = new Closer();
    private Reactor reactor;
    private RawServer server;
    private BufferingHttpClient http;

    @BeforeEach
    void start() throws IOException {
      server = closer.add(new RawServer((request, socket) -> false));
      reactor = closer.add(Reactor.start(() -> {}));
      http = new BufferingHttpClient(reactor, () -> 0, Addresses.parse(server.address()));
    }

    @AfterEach
    void stop() {
      closer.close();
    }

    private void answer(String response) {
      server.setHandler(
          (request, socket) -> {
            RawServer.write(socket, response);
            return false;
          });
    }

    private <T> T result(Consumer<Consumer<T>> call) throws Exception {
      CompletableFuture<T> result = new CompletableFuture<>();
      reactor.runLocked(() -> call.accept(result::complete));
      return result.get(10, TimeUnit.SECONDS);
    }

    private void assertFailed(CatalogResult<?> result) {
      assertWithMessage("%s", result).that(result).isInstanceOf(CatalogResult.Failed.class);
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/1.1 600 Odd||{\"items\":[],\"events\":[],\"has_more\":false,\"at\":40}",
          "HTTP/1.1 200 OK|X Name: v||{\"items\":[],\"events\":[],\"has_more\":false,\"at\":40}",
          "HTTP/1.1 200 OK||",
          "HTTP/1.1 200 OK||{}",
          "HTTP/1.1 200 OK||[]",
          "HTTP/1.1 200 OK||null",
          "HTTP/1.1 200 OK||{\"items\":[],\"events\":[],\"has_more\":false,\"at\":\"40\"}",
          "HTTP/1.1 204 No Content||",
          "HTTP/1.1 404 Not Found||{}"
        })
    void isNoListAndNoChange(String response) throws Exception {
      InetSocketAddress address = Addresses.parse(server.address());
      StoreClient client = new StoreClient(http, address, 1_000, Map.of());
      answer(response.replace("|", "\r\n"));
      assertFailed(result(client::readEndpoints));
      assertFailed(result(client::readOperatorState));
      Consumer<Consumer<CatalogResult<CatalogChanges>>> watch = c -> client.watch(40, 1_000, c);
      assertFailed(result(watch));
      assertThat(server.requests()).hasSize(3);
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "xyz",
          "HTTP/1.1 200 OK|X: ",
          "HTTP/1.1 200 OK||{\"items\":[\"",
          "HTTP/1.1 200 OK|Transfer-Encoding: chunked||5;",
          "HTTP/1.1 200 OK|Transfer-Encoding: chunked||7fffffff|"
        })
    void isLimitedWhereItHasNoEnd(String begin) throws Exception {
      AtomicInteger written = new AtomicInteger();
      String part = "x".repeat(8_192);
      server.setHandler(
          (request, socket) -> {
            RawServer.write(socket, begin.replace("|", "\r\n"));
            while (written.get() < 2 * MAX_BYTES) {
              RawServer.write(socket, part);
              written.addAndGet(part.length());
            }
            return false;
          });
      StoreClient client =
          new StoreClient(http, Addresses.parse(server.address()), 1_000, Map.of());
      assertFailed(result(client::readEndpoints));
      assertThat(written.get()).isAtMost(MAX_BYTES);
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/1.1 600 Odd||{\"queued\":0,\"active\":1,\"born\":1}",
          "HTTP/1.1 200 OK|X-\2Name: v||{\"queued\":0,\"active\":1,\"born\":1}"
        })
    void isNoReport(String response) throws Exception {
      ReportClient client = new ReportClient(address -> http, 1_000);
      ListedEndpoint engine =
          new ListedEndpoint("i-1", "app", server.address(), "zone-a", "v1", 6, false, 1);
      answer(response.replace("|", "\r\n"));
      Consumer<Consumer<Optional<EngineReport>>> read = callback -> client.read(engine, callback);
      assertThat(result(read)).isEmpty();
      answer("HTTP/1.1 200 OK\r\n\r\n{\"queued\":0,\"active\":1,\"born\":1}");
      assertThat(result(read)).isPresent();
    }
  }
}
