package org.zinniaspan.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.zinniaspan.configuration.DocumentSource.Change;
import org.zinniaspan.testkit.VirtualClock;

class PlatformWatcherTest {

  private final VirtualClock clock = new VirtualClock(0);
  private final ConfigurationStore store = new ConfigurationStore();
  private final List<Long> watchedAfter = new ArrayList<>();
  private Optional<Document> readable = Optional.empty();

  private final PlatformClient client =
      new PlatformClient() {
        @Override
        public void watch(long after, long waitMs, Consumer<Optional<List<Change>>> done) {
          watchedAfter.add(after);
          List<Change> changes =
              after < 7 ? List.of(new Change(DocumentName.RULES, 7)) : List.<Change>of();
          done.accept(Optional.of(changes));
        }

        @Override
        public void read(DocumentName name, Consumer<Optional<Document>> done) {
          done.accept(readable);
        }
      };

  private final PlatformWatcher watcher =
      new PlatformWatcher(
          client, store, FeedSettings.withSeed(1), clock, new Random(1), store::offer);

  private void run(long ms) {
    for (long passed = 0; passed < ms; passed += 50) {
      clock.advance(50);
      watcher.tick(() -> true);
    }
  }

  private static Optional<Document> rules(long revision) {
    byte[] content = "{}".getBytes(StandardCharsets.UTF_8);
    return Optional.of(new Document(DocumentName.RULES, revision, content));
  }

  @Test
  void failedReadIsRetried() {
    run(3_000);
    assertThat(watchedAfter.size()).isAtLeast(2);
    assertThat(watchedAfter).doesNotContain(7L);
    readable = rules(7);
    run(6_000);
    assertThat(store.current().revision(DocumentName.RULES)).isEqualTo(7);
    assertThat(watchedAfter).contains(7L);
  }

  @Test
  void readOfAnOlderRevisionIsRetried() {
    readable = rules(5);
    run(3_000);
    assertThat(store.current().revision(DocumentName.RULES)).isEqualTo(5);
    assertThat(watchedAfter).doesNotContain(7L);
  }

  @Test
  void failingReadsBackOff() {
    run(20_000);
    assertThat(watchedAfter.size()).isAtMost(40);
  }
}
