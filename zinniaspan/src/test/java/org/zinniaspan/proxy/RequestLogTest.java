package org.zinniaspan.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.junit.jupiter.api.Test;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.log.RecentEvents;

class RequestLogTest {

  private final RecentEvents written = EventLog.enableRecentEvents();
  private final RequestLog log = new RequestLog();
  private final String id = unsampledId();

  private static String unsampledId() {
    String id = "";
    do {
      id = UUID.randomUUID().toString();
    } while (Math.floorMod(id.hashCode(), RequestLog.SAMPLING_INTERVAL) == 0);
    return id;
  }

  private EventLog line(String event) {
    return EventLog.event(event).with("requestId", id);
  }

  private List<String> events() {
    return written.findByIdPrefix(id).stream()
        .map((Map<String, String> line) -> line.get("event"))
        .toList();
  }

  @Test
  void unsampledRequestServedInTimeIsNotLogged() {
    log.add(line("chosen"));
    log.complete(id, true);
    assertThat(events()).isEmpty();
  }

  @Test
  void failedRequestIsLoggedCompletely() {
    log.add(line("chosen"));
    log.addFailure(line("ended"));
    log.complete(id, false);
    assertThat(events()).containsExactly("chosen", "ended").inOrder();
  }

  @Test
  void retriedRequestIsLoggedCompletely() {
    log.add(line("chosen"));
    log.addFailure(line("lost"));
    log.add(line("ended"));
    log.complete(id, true);
    assertThat(events()).containsExactly("chosen", "lost", "ended").inOrder();
  }

  @Test
  void sampledRequestIsLogged() {
    String sampled = "a";
    while (Math.floorMod(sampled.hashCode(), RequestLog.SAMPLING_INTERVAL) != 0) {
      sampled += "a";
    }
    log.add(EventLog.event("sampled").with("requestId", id));
    log.complete(sampled, true);
    assertThat(events()).containsExactly("sampled");
  }
}
