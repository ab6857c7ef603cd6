package org.zinniaspan.configuration;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.zinniaspan.peer.proto.DocumentPart;
import org.zinniaspan.peer.proto.DocumentRequest;

/**
 * State of the transfer of one document from another VM, which arrives in parts.
 *
 * <p>A part of a higher revision restarts the transfer. Not thread-safe.
 */
final class DocumentFetch {

  private final DocumentName name;
  private final Optional<Document> base;
  private final ByteArrayOutputStream payload = new ByteArrayOutputStream();
  private long revision;
  private String sha256 = "";
  private long baseRevision;
  private String sourceVm;
  private long lastProgressMs;
  private int retries;

  DocumentFetch(
      DocumentName name, long revision, Optional<Document> base, String sourceVm, long nowMs) {
    this.name = name;
    this.revision = revision;
    this.base = base;
    this.sourceVm = sourceVm;
    this.lastProgressMs = nowMs;
  }

  long revision() {
    return revision;
  }

  String sourceVm() {
    return sourceVm;
  }

  long lastProgressMs() {
    return lastProgressMs;
  }

  /**
   * Records a retry from the given VM and returns the number of retries since the last progress.
   */
  int retry(String vm, long nowMs) {
    sourceVm = vm;
    lastProgressMs = nowMs;
    return ++retries;
  }

  /** Returns the request for the next part. */
  DocumentRequest request() {
    return DocumentRequest.newBuilder()
        .setName(name.label())
        .setNewerThan(base.map(Document::revision).orElse(0L))
        .setOffset(payload.size())
        .setRevision(payload.size() == 0 ? 0 : revision)
        .build();
  }

  /** Adds a part; returns false, and ignores it, if it does not continue the parts received. */
  boolean add(DocumentPart part, long nowMs) {
    if (part.getRevision() < revision || part.getTotal() > DocumentDelta.MAX_CONTENT_BYTES * 2) {
      return false;
    }
    if (startsNewTransfer(part)) {
      payload.reset();
      revision = part.getRevision();
      sha256 = part.getSha256();
      baseRevision = part.getBaseRevision();
    }
    if (part.getOffset() != payload.size()) {
      return false;
    }
    payload.writeBytes(part.getContent().toByteArray());
    lastProgressMs = nowMs;
    retries = 0;
    return true;
  }

  private boolean startsNewTransfer(DocumentPart part) {
    return part.getRevision() != revision
        || !part.getSha256().equals(sha256)
        || part.getBaseRevision() != baseRevision;
  }

  boolean isComplete(DocumentPart last) {
    return payload.size() >= last.getTotal();
  }

  /** Returns the document; empty if it cannot be decoded or does not match its hash. */
  Optional<Document> document(DocumentPart last) {
    DocumentDelta delta =
        new DocumentDelta(
            last.getBaseRevision(),
            last.getBasePrefix(),
            last.getBaseSuffix(),
            last.getSha256(),
            payload.toByteArray());
    Optional<Document> known = base.filter(old -> old.revision() == last.getBaseRevision());
    return delta.decode(known).map(content -> new Document(name, revision, content));
  }
}
