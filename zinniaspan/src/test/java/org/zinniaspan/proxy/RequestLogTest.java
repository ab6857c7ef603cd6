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
  private final String id = idOutsideOfTheSample();

  private static String idOutsideOfTheSample() {
    String id = "";
    do {
      id = UUID.randomUUID().toString();
    } while (Math.floorMod(id.hashCode(), RequestLog.SAMPLE) == 0);
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
  void isNotWrittenForOneRequestThatWentWellOutsideOfTheSample() {
    log.add(line("chosen"));
    log.end(id, true);
    assertThat(events()).isEmpty();
  }

  @Test
  void isWrittenWholeForOneRequestThatFailed() {
    log.add(line("chosen"));
    log.addFailure(line("ended"));
    log.end(id, false);
    assertThat(events()).containsExactly("chosen", "ended").inOrder();
  }

  @Test
  void isWrittenWholeForOneRequestThatWasSavedByAnotherEndpoint() {
    log.add(line("chosen"));
    log.addFailure(line("lost"));
    log.add(line("ended"));
    log.end(id, true);
    assertThat(events()).containsExactly("chosen", "lost", "ended").inOrder();
  }

  @Test
  void isWrittenForOneRequestOfTheSample() {
    String sampled = "a";
    while (Math.floorMod(sampled.hashCode(), RequestLog.SAMPLE) != 0) {
      sampled += "a";
    }
    log.add(EventLog.event("sampled").with("requestId", id));
    log.end(sampled, true);
    assertThat(events()).containsExactly("sampled");
  }
}
