package org.zinniaspan.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class LineBufferTest {

  private final LineBuffer<String> buffer = new LineBuffer<>(3);

  @Test
  void keepsTheOrderOfRoutineLinesAndFailures() {
    buffer.add("r1", false);
    buffer.add("f1", true);
    buffer.add("r2", false);
    assertThat(buffer.drain()).containsExactly("r1", "f1", "r2").inOrder();
    assertThat(buffer.isEmpty()).isTrue();
  }

  @Test
  void dropsTheOldestRoutineLineFirst() {
    buffer.add("r1", false);
    buffer.add("f1", true);
    buffer.add("r2", false);
    buffer.add("f2", true);
    assertThat(buffer.drain()).containsExactly("f1", "r2", "f2").inOrder();
    assertThat(buffer.resetDroppedCounts()).isEqualTo(new LineBuffer.DroppedCounts(1, 0));
  }

  @Test
  void dropsFailuresOnlyForNewerFailures() {
    buffer.add("f1", true);
    buffer.add("f2", true);
    buffer.add("f3", true);
    buffer.add("r1", false);
    buffer.add("f4", true);
    assertThat(buffer.drain()).containsExactly("f2", "f3", "f4").inOrder();
    assertThat(buffer.resetDroppedCounts()).isEqualTo(new LineBuffer.DroppedCounts(1, 1));
    assertThat(buffer.resetDroppedCounts()).isEqualTo(new LineBuffer.DroppedCounts(0, 0));
  }

  @Test
  void addReportsWhetherTheBufferWasEmpty() {
    assertThat(buffer.add("r1", false)).isTrue();
    assertThat(buffer.add("r2", false)).isFalse();
  }
}
