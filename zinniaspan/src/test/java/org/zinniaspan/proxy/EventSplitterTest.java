package org.zinniaspan.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class EventSplitterTest {

  private final EventSplitter splitter = new EventSplitter();

  private List<EventSplitter.Event> add(String text) {
    return splitter.add(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
  }

  @Test
  void givesWholeEventsWhereverTheBytesAreSplit() {
    String stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
    for (int cut = 0; cut <= stream.length(); cut++) {
      EventSplitter fresh = new EventSplitter();
      List<EventSplitter.Event> events = new ArrayList<>();
      for (String part : List.of(stream.substring(0, cut), stream.substring(cut))) {
        events.addAll(fresh.add(ByteBuffer.wrap(part.getBytes(StandardCharsets.US_ASCII))));
      }
      assertThat(events.stream().map(EventSplitter.Event::id).toList())
          .containsExactly(Optional.of("1"), Optional.of("2"))
          .inOrder();
    }
  }

  @Test
  void keepsWhatIsNotComplete() {
    assertThat(add("id: 1\nda")).isEmpty();
    assertThat(new String(splitter.rest(), StandardCharsets.US_ASCII)).isEqualTo("id: 1\nda");
  }

  @Test
  void givesEventsWithoutId() {
    assertThat(add("data: x\n\n").get(0).id()).isEmpty();
  }
}
