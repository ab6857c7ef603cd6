package org.zinniaspan.configuration;

import java.util.List;
import java.util.Optional;
import org.zinniaspan.configuration.DocumentSource.Change;
import org.zinniaspan.inventory.Finding;
import org.zinniaspan.log.EventLog;

/** Follows the platform's documents on a thread of its own. */
public final class PlatformReader implements AutoCloseable {

  private static final long WATCH_MS = 10_000;
  private static final long PAUSE_MS = 500;

  private final DocumentSource source;
  private final ConfigurationStore store;
  private final Thread thread;
  private long seenRevision;

  /** Starts to follow the source. */
  public PlatformReader(DocumentSource source, ConfigurationStore store) {
    this.source = source;
    this.store = store;
    this.thread = new Thread(this::run, "platform-reader");
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    while (!Thread.currentThread().isInterrupted()) {
      Optional<List<Change>> changes = source.watch(seenRevision, WATCH_MS);
      if (changes.isPresent()) {
        changes.get().forEach(this::follow);
      } else if (!pause()) {
        return;
      }
    }
  }

  private void follow(Change change) {
    source.read(change.name()).ifPresent(document -> offer(document));
    seenRevision = Math.max(seenRevision, change.revision());
  }

  private void offer(Document document) {
    AdoptResult result = store.offer(document);
    EventLog line =
        EventLog.event("document")
            .with("name", document.name().label())
            .with("revision", document.revision())
            .with("result", result.getClass().getSimpleName());
    if (result instanceof AdoptResult.Invalid invalid) {
      for (Finding finding : invalid.findings()) {
        EventLog.event("document-finding").with("finding", finding).warn();
      }
    }
    line.info();
  }

  private static boolean pause() {
    try {
      Thread.sleep(PAUSE_MS);
      return true;
    } catch (InterruptedException e) {
      return false;
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
