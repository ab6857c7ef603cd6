package org.zinniaspan.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.zinniaspan.testkit.VirtualClock;

class SlowCallersTest {

  private final VirtualClock clock = new VirtualClock(1_000);
  private final SlowCallers slowCallers = new SlowCallers(clock);
  private final List<String> closed = new ArrayList<>();

  /** Returns a stream whose write takes the given milliseconds, then ticks the write timeout. */
  private OutputStream blockingFor(long ms) {
    return new OutputStream() {
      @Override
      public void write(int value) {
        clock.advance(ms);
        slowCallers.tick();
      }
    };
  }

  private void write(long blockMs) throws IOException {
    try (SlowCallers.TimedOutputStream timed =
        slowCallers.monitor(blockingFor(blockMs), () -> closed.add("closed"))) {
      timed.write('x');
    }
  }

  @Test
  void blockedWriteClosesTheConnection() throws IOException {
    write(SlowCallers.WRITE_TIMEOUT_MS + 1);
    assertThat(closed).containsExactly("closed");
  }

  @Test
  void writeWithinTheTimeoutKeepsTheConnectionOpen() throws IOException {
    write(SlowCallers.WRITE_TIMEOUT_MS - 1);
    clock.advance(SlowCallers.WRITE_TIMEOUT_MS * 2);
    slowCallers.tick();
    assertThat(closed).isEmpty();
  }
}
