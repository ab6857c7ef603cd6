package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.STAMP;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.request;
import static org.zinniaspan.standins.site.RawServer.write;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Guards against requests that a planned stop cuts at the end of its grace without an answer. */
@Timeout(60)
class EndOfGracePeriodTest {

  @RegisterExtension final ForwardDaemonFixture daemon = new ForwardDaemonFixture();

  private CompletableFuture<String> call(String path) {
    int before = daemon.first.requests().size();
    CompletableFuture<String> response =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return daemon.call(request("POST", path, "", "b"));
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    while (daemon.first.requests().size() == before) {
      Thread.onSpinWait();
    }
    return response;
  }

  private void stop() {
    daemon.daemon.shutdown();
    assertThat(daemon.daemon.awaitShutdown()).isTrue();
    daemon.daemon.close();
  }

  @Test
  void answersRequestsWhoseOutcomeIsUnknown() throws Exception {
    daemon.first.setHandler((request, socket) -> true);
    List<CompletableFuture<String>> responses = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      responses.add(call("/chat/x"));
    }
    stop();
    for (CompletableFuture<String> response : responses) {
      String text = response.get(10, TimeUnit.SECONDS);
      assertThat(text).startsWith("HTTP/1.1 502");
      assertThat(text).contains("Connection: close");
      assertThat(text).contains("stopping");
    }
  }

  @Test
  void endsStreamsThatHaveBegunWithoutTheirEnd() throws Exception {
    daemon.first.setHandler(
        (request, socket) -> {
          write(
              socket,
              "HTTP/1.1 200 OK\r\nX-Zinniaspan-Attempt-Id: a1\r\n"
                  + STAMP
                  + "Content-Length: 99\r\n\r\nid: 1\ndata: a\n\n");
          return true;
        });
    CompletableFuture<String> response = call("/chat/x");
    stop();
    String text = response.get(10, TimeUnit.SECONDS);
    assertThat(text).contains("id: 1\n");
    assertWithMessage("the end of a chunked body").that(text).doesNotContain("\r\n0\r\n");
  }
}
