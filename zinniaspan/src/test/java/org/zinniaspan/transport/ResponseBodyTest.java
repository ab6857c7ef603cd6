package org.zinniaspan.transport;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

/** Each response was within its limit, but all responses of a VM together filled its memory. */
class ResponseBodyTest {

  private static final int KIB = 1024;

  private final BufferBudget budget = new BufferBudget(64 * KIB);

  private final ResponseBody first = new ResponseBody(budget);
  private final ResponseBody second = new ResponseBody(budget);

  @Test
  void endsWhatAllBodiesExceedTogether() {
    assertThat(first.add(bytes(60 * KIB))).isTrue();
    assertThat(second.add(bytes(60 * KIB))).isFalse();
  }

  @Test
  void leavesRoomForSmallBodies() {
    assertThat(first.add(bytes(60 * KIB))).isTrue();
    assertThat(second.add(bytes(16 * KIB))).isTrue();
  }

  @Test
  void isFreeOnceBodiesAreReleased() {
    first.add(bytes(60 * KIB));
    first.release();
    first.release();
    assertThat(budget.usedBytes()).isEqualTo(0);
    assertThat(second.add(bytes(60 * KIB))).isTrue();
  }

  @Test
  void keepsBytesAsTheyAre() {
    StringBuilder expected = new StringBuilder();
    for (int i = 0; expected.length() < 50 * KIB; i++) {
      String part = "part " + i + " ".repeat(i);
      expected.append(part);
      assertThat(first.add(ByteBuffer.wrap(part.getBytes()))).isTrue();
    }
    assertThat(new String(first.take())).isEqualTo(expected.toString());
  }

  private static ByteBuffer bytes(int count) {
    return ByteBuffer.allocate(count);
  }
}
