package org.zinniaspan.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SseSplitterTest {

  private final SseSplitter splitter = new SseSplitter();

  private List<SseSplitter.Event> add(String text) {
    return splitter.add(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
  }

  @Test
  void returnsWholeEventsForEverySplitPosition() {
    String stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
    for (int cut = 0; cut <= stream.length(); cut++) {
      SseSplitter fresh = new SseSplitter();
      List<SseSplitter.Event> events = new ArrayList<>();
      for (String part : List.of(stream.substring(0, cut), stream.substring(cut))) {
        events.addAll(fresh.add(ByteBuffer.wrap(part.getBytes(StandardCharsets.US_ASCII))));
      }
      assertThat(events.stream().map(SseSplitter.Event::id).toList())
          .containsExactly(Optional.of("1"), Optional.of("2"))
          .inOrder();
    }
  }

  @Test
  void keepsIncompleteEvent() {
    assertThat(add("id: 1\nda")).isEmpty();
    assertThat(splitter.incompleteBytes()).isEqualTo("id: 1\nda".length());
    List<SseSplitter.Event> events = add("ta: a\n\n");
    assertThat(new String(events.get(0).bytes(), StandardCharsets.US_ASCII))
        .isEqualTo("id: 1\ndata: a\n\n");
    assertThat(splitter.incompleteBytes()).isEqualTo(0);
  }

  @Test
  void returnsEventsWithoutId() {
    assertThat(add("data: x\n\n").get(0).id()).isEmpty();
  }
}
