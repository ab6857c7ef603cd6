package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.always;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.okResponse;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.request;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.zinniaspan.lifecycle.Closer;

/** Bodies of requests filled the memory of a VM: after their response, and while they were read. */
@Timeout(60)
class RequestBodyMemoryTest {

  private static final int MAX_BODY_BYTES = 4 << 20;

  @RegisterExtension private final ForwardDaemonFixture daemon = new ForwardDaemonFixture();

  private final Closer clients = new Closer();

  @BeforeEach
  void answer() {
    daemon.first.setHandler(always(okResponse("a1", "served")));
    daemon.second.setHandler(always(okResponse("a1", "served")));
  }

  @AfterEach
  void stop() {
    clients.close();
  }

  private static String head(int bodyBytes) {
    return request("POST", "/unsafe/x", "Content-Length: " + bodyBytes + "\r\n", "")
        .replace("Connection: close\r\n", "");
  }

  private RawClient send(String text) throws IOException {
    RawClient client = clients.add(new RawClient(daemon.listen));
    client.send(text);
    return client;
  }

  private long usedBytes() {
    daemon.first.requests().clear();
    daemon.second.requests().clear();
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  @Test
  void isFreeAfterTheResponseThoughConnectionsAreKept() throws IOException {
    String text = head(MAX_BODY_BYTES) + "x".repeat(MAX_BODY_BYTES);
    long before = usedBytes();
    for (int i = 0; i < 24; i++) {
      assertThat(send(text).readUntil("served")).startsWith("HTTP/1.1 200");
    }
    assertThat(usedBytes() - before).isLessThan(10L * MAX_BODY_BYTES);
  }

  @Test
  void isLimitedWhileBodiesAreRead() throws Exception {
    String incomplete = head(MAX_BODY_BYTES) + "x".repeat(MAX_BODY_BYTES - 1);
    List<Callable<String>> responses = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      RawClient client = send(incomplete);
      responses.add(() -> client.readUntil("\r\n\r\n"));
    }
    ExecutorService readers = Executors.newCachedThreadPool();
    clients.add(readers::shutdownNow);
    String first = readers.invokeAny(responses);
    assertThat(first).startsWith("HTTP/1.1 503");
    assertThat(first).contains("Retry-After: ");
    assertThat(send(head(10) + "0123456789").readUntil("served")).startsWith("HTTP/1.1 200");
  }
}
