package org.zinniaspan.configuration;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.zinniaspan.configuration.DocumentSource.Change;

/** Asks the platform without blocking; each answer comes later, on any thread. */
public interface PlatformClient {

  /**
   * Waits for changes.
   *
   * @param afterRevision changes up to this revision are known
   * @param waitMs longest wait in milliseconds
   * @param done gets the changes, empty if the platform did not answer
   */
  void watch(long afterRevision, long waitMs, Consumer<Optional<List<Change>>> done);

  /** Reads a document; {@code done} gets empty if the platform did not answer or lacks it. */
  void read(DocumentName name, Consumer<Optional<Document>> done);
}
