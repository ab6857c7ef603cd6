package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.always;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.okResponse;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.request;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** An endpoint that states when to come back gets nothing until then, however its response ends. */
@Timeout(60)
class RetryAfterTest {

  private static final String HEAD = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\n";
  private static final String ID = "X-Zinniaspan-Attempt-Id: a1\r\n";
  private static final String NOT_RUN = "X-Zinniaspan-Not-Executed: 1\r\n";
  private static final int CALLS = 5;

  /** A response with status 503. */
  private enum Ending {
    COMPLETE(ID + NOT_RUN + "Content-Length: 4\r\n\r\nbusy", true),
    WITHOUT_LENGTH(ID + NOT_RUN + "\r\nbusy", false),
    WITHOUT_STATEMENT_THAT_IT_DID_NOT_RUN(ID + "Content-Length: 0\r\n\r\n", true),
    STAMPED(ID + ForwardDaemonFixture.STAMP + "Content-Length: 0\r\n\r\n", true),
    WITHOUT_ATTEMPT_ID("Content-Length: 0\r\n\r\n", true),
    OF_ANOTHER_ATTEMPT(
        "X-Zinniaspan-Attempt-Id: a2\r\n" + NOT_RUN + "Content-Length: 0\r\n\r\n", false),
    ENCODED(ID + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\n..", true),
    CUT_OFF_IN_BODY(ID + NOT_RUN + "Content-Length: 40\r\n\r\nbusy", false),
    BROKEN_CHUNK(ID + NOT_RUN + "Transfer-Encoding: chunked\r\n\r\nzz\r\nbusy\r\n", false),
    WITHOUT_BODY_THAT_IT_ANNOUNCES(ID + NOT_RUN + "Content-Length: 40\r\n\r\n", true);

    private final String rest;
    private final boolean keepsOpen;

    Ending(String rest, boolean keepsOpen) {
      this.rest = rest;
      this.keepsOpen = keepsOpen;
    }
  }

  private final ForwardDaemonFixture daemon = new ForwardDaemonFixture();

  @BeforeEach
  void start() throws IOException {
    daemon.start();
    daemon.second.setHandler(always(okResponse("a1", "second")));
  }

  @AfterEach
  void stop() {
    daemon.close();
  }

  private void endResponsesOfFirst(Ending ending) {
    daemon.first.setHandler(
        (request, socket) -> {
          RawServer.write(socket, HEAD + ending.rest);
          return ending.keepsOpen;
        });
  }

  private void assertOneRequestReachedFirst() {
    assertWithMessage("requests that reached the endpoint")
        .that(daemon.first.requests().size())
        .isEqualTo(1);
  }

  @ParameterizedTest
  @EnumSource(Ending.class)
  void isFollowedByRequestsThatMayRunTwice(Ending ending) throws IOException {
    endResponsesOfFirst(ending);
    for (int i = 0; i < CALLS; i++) {
      daemon.call(request("GET", "/safe/x", "", ""));
    }
    assertOneRequestReachedFirst();
  }

  @ParameterizedTest
  @EnumSource(Ending.class)
  void isFollowedByRequestsThatMayRunOnce(Ending ending) throws IOException {
    endResponsesOfFirst(ending);
    for (int i = 0; i < CALLS; i++) {
      daemon.call(request("POST", "/unsafe/x", "", "body"));
    }
    assertOneRequestReachedFirst();
  }

  @ParameterizedTest
  @EnumSource(Ending.class)
  void isFollowedByStreams(Ending ending) throws IOException {
    endResponsesOfFirst(ending);
    for (int i = 0; i < CALLS; i++) {
      daemon.call(request("POST", "/chat/x", "X-Zinniaspan-Deadline-Ms: 1200\r\n", "body"));
    }
    assertOneRequestReachedFirst();
  }
}
