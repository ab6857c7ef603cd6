package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.STAMP;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.always;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.okResponse;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.request;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an exception while an answer is handled leaving its request without any. */
@Timeout(60)
class AnswerFaultTest {

  /** Far below the timeout of the routes. */
  private static final long MAX_MS = 1_000;

  @RegisterExtension final ForwardDaemonFixture daemon = new ForwardDaemonFixture();

  private String callAtOnce(String request) throws IOException {
    long startMs = System.currentTimeMillis();
    String response = daemon.call(request);
    assertThat(System.currentTimeMillis() - startMs).isLessThan(MAX_MS);
    return response;
  }

  @ParameterizedTest
  @ValueSource(strings = {"/unsafe/x", "/safe/x"})
  void leavesTheOutcomeUnknown(String path) throws IOException {
    daemon.first.setHandler(always(okResponse("a1", "done")));
    daemon.second.setHandler(always(okResponse("a1", "done")));
    daemon.failingDialectMethod.set("clientResponse");
    String request = request("POST", path, "", "b");
    assertThat(callAtOnce(request)).startsWith("HTTP/1.1 502");
    assertThat(callAtOnce(request)).endsWith("done");
  }

  @Test
  void letsStreamsBeginElsewhere() throws IOException {
    String head =
        "HTTP/1.1 200 OK\r\nX-Zinniaspan-Attempt-Id: a1\r\n"
            + STAMP
            + "Content-Length: 15\r\n\r\nid: 1\ndata: ";
    daemon.first.setHandler(always(head + "a\n\n"));
    daemon.second.setHandler(always(head + "b\n\n"));
    daemon.failingDialectMethod.set("clientResponse");
    String response = callAtOnce(request("POST", "/chat/x", "", "b"));
    assertThat(response).startsWith("HTTP/1.1 200");
    assertThat(response).contains("data: b\n");
  }

  @Test
  void isFollowedByTheTimeoutIfNoFailureCanBeSent() throws IOException {
    daemon.first.setHandler((request, socket) -> false);
    daemon.failingDialectMethod.set("localResponse");
    assertThat(daemon.call(request("POST", "/unsafe/x", "", "b"))).startsWith("HTTP/1.1 50");
  }

  @Test
  void closesTheConnectionIfNoTimeoutCanBeSent() throws IOException {
    daemon.first.setHandler((request, socket) -> true);
    daemon.failingDialectMethod.set("localResponse");
    assertThat(daemon.call(request("POST", "/unsafe/x", "", "b"))).isEmpty();
  }
}
