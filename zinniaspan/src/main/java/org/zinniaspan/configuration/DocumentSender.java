package org.zinniaspan.configuration;

import com.google.protobuf.ByteString;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.peer.proto.DocumentPart;
import org.zinniaspan.peer.proto.DocumentRequest;
import org.zinniaspan.peer.proto.Envelope;

/**
 * Answers requests of other VMs for documents, one part for each request.
 *
 * <p>State is guarded by this object's lock.
 */
final class DocumentSender {

  /** Longest part, in bytes. */
  static final int PART_BYTES = 48 * 1024;

  private record Key(long revision, long baseRevision) {}

  private record Prepared(Key key, DocumentTransfer transfer) {}

  private final ConfigurationStore store;
  private final PeerLink link;
  private final Map<DocumentName, Prepared> prepared = new EnumMap<>(DocumentName.class);

  DocumentSender(ConfigurationStore store, PeerLink link) {
    this.store = store;
    this.link = link;
  }

  void answer(String vm, DocumentRequest request) {
    Optional<Document> document = DocumentName.of(request.getName()).flatMap(store::document);
    if (document.isEmpty() || document.get().revision() <= request.getNewerThan()) {
      return;
    }
    long revision = document.get().revision();
    DocumentTransfer transfer = transfer(document.get(), request.getNewerThan());
    long asked = request.getRevision() == revision ? request.getOffset() : 0;
    int offset = (int) Math.max(0, Math.min(asked, transfer.payload().length));
    int length = Math.min(PART_BYTES, transfer.payload().length - offset);
    DocumentPart part =
        DocumentPart.newBuilder()
            .setName(request.getName())
            .setRevision(revision)
            .setOffset(offset)
            .setTotal(transfer.payload().length)
            .setContent(ByteString.copyFrom(transfer.payload(), offset, length))
            .setSha256(transfer.sha256())
            .setBaseRevision(transfer.baseRevision())
            .setBasePrefix(transfer.prefix())
            .setBaseSuffix(transfer.suffix())
            .build();
    link.send(vm, Envelope.newBuilder().setDocumentPart(part));
  }

  private synchronized DocumentTransfer transfer(Document document, long baseRevision) {
    Optional<Document> base =
        store.previous(document.name()).filter(old -> old.revision() == baseRevision);
    Key key = new Key(document.revision(), base.map(Document::revision).orElse(0L));
    Prepared known = prepared.get(document.name());
    if (known == null || !known.key().equals(key)) {
      known = new Prepared(key, DocumentTransfer.of(document, base));
      prepared.put(document.name(), known);
    }
    return known.transfer();
  }
}
