package org.zinniaspan.configuration;

import java.util.List;
import java.util.Optional;

/** Reads what the platform publishes; never writes. */
public interface DocumentSource {

  /** A document and the revision at which it last changed. */
  record Change(DocumentName name, long revision) {}

  /**
   * Waits for changes.
   *
   * @param afterRevision changes up to this revision are known
   * @param waitMs longest wait in milliseconds
   * @return the changes, none if there were none in time, empty if the platform did not answer
   */
  Optional<List<Change>> watch(long afterRevision, long waitMs);

  /** Reads a document; empty if the platform did not answer or lacks it. */
  Optional<Document> read(DocumentName name);
}
