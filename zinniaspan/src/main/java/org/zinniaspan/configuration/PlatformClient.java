package org.zinniaspan.configuration;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.zinniaspan.configuration.DocumentSource.Change;

/** Asynchronous client of the platform; each callback may run on any thread. */
public interface PlatformClient {

  /**
   * Waits for changes to documents.
   *
   * @param afterRevision only changes after this revision are returned
   * @param waitMs maximum wait in milliseconds
   * @param done receives the changes; empty if the platform did not respond
   */
  void watch(long afterRevision, long waitMs, Consumer<Optional<List<Change>>> done);

  /**
   * Reads a document; {@code done} receives empty if the platform did not respond or does not have
   * it.
   */
  void read(DocumentName name, Consumer<Optional<Document>> done);
}
