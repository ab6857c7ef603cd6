package org.zinniaspan.configuration;

import java.util.List;
import java.util.Optional;

/** Read-only access to the documents that the platform publishes; calls block. */
public interface DocumentSource {

  /** A document name and the revision at which the document last changed. */
  record Change(DocumentName name, long revision) {}

  /**
   * Waits for changes to documents.
   *
   * @param afterRevision only changes after this revision are returned
   * @param waitMs maximum wait in milliseconds
   * @return the changes, an empty list if there were none in time, or an empty optional if the
   *     platform did not respond
   */
  Optional<List<Change>> watch(long afterRevision, long waitMs);

  /** Reads a document; empty if the platform did not respond or does not have it. */
  Optional<Document> read(DocumentName name);
}
