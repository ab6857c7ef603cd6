package org.zinniaspan.configuration;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.zinniaspan.configuration.DocumentSource.Change;

/** Platform client that calls a blocking source on a dedicated thread. */
public final class ThreadedPlatformClient implements PlatformClient, AutoCloseable {

  private final DocumentSource source;
  private final ExecutorService thread =
      Executors.newSingleThreadExecutor(
          task -> {
            Thread created = new Thread(task, "platform-reader");
            created.setDaemon(true);
            return created;
          });

  /** Creates a client of the given source. */
  public ThreadedPlatformClient(DocumentSource source) {
    this.source = source;
  }

  @Override
  public void watch(long afterRevision, long waitMs, Consumer<Optional<List<Change>>> done) {
    thread.execute(() -> done.accept(source.watch(afterRevision, waitMs)));
  }

  @Override
  public void read(DocumentName name, Consumer<Optional<Document>> done) {
    thread.execute(() -> done.accept(source.read(name)));
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }
}
