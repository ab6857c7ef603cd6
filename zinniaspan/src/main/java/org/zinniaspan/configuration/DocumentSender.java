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
 * Sends documents to other VMs on request, one part for each request.
 *
 * <p>State is guarded by this object's lock.
 */
final class DocumentSender {

  /** Maximum length of a part, in bytes. */
  static final int PART_BYTES = 48 * 1024;

  private record DeltaKey(long revision, long baseRevision) {}

  private record CachedDelta(DeltaKey key, DocumentDelta delta) {}

  private final ConfigurationStore store;
  private final PeerLink link;
  private final Map<DocumentName, CachedDelta> cachedDeltas = new EnumMap<>(DocumentName.class);

  DocumentSender(ConfigurationStore store, PeerLink link) {
    this.store = store;
    this.link = link;
  }

  /** Sends the requested part, or nothing if this VM has no higher revision than the requester. */
  void sendPart(String vm, DocumentRequest request) {
    Optional<Document> document = DocumentName.of(request.getName()).flatMap(store::document);
    if (document.isEmpty() || document.get().revision() <= request.getNewerThan()) {
      return;
    }
    long revision = document.get().revision();
    DocumentDelta delta = delta(document.get(), request.getNewerThan());
    long requestedOffset = request.getRevision() == revision ? request.getOffset() : 0;
    int offset = (int) Math.max(0, Math.min(requestedOffset, delta.payload().length));
    int length = Math.min(PART_BYTES, delta.payload().length - offset);
    DocumentPart part =
        DocumentPart.newBuilder()
            .setName(request.getName())
            .setRevision(revision)
            .setOffset(offset)
            .setTotal(delta.payload().length)
            .setContent(ByteString.copyFrom(delta.payload(), offset, length))
            .setSha256(delta.sha256())
            .setBaseRevision(delta.baseRevision())
            .setBasePrefix(delta.prefixBytes())
            .setBaseSuffix(delta.suffixBytes())
            .build();
    link.send(vm, Envelope.newBuilder().setDocumentPart(part));
  }

  private synchronized DocumentDelta delta(Document document, long baseRevision) {
    Optional<Document> base =
        store.previous(document.name()).filter(old -> old.revision() == baseRevision);
    DeltaKey key = new DeltaKey(document.revision(), base.map(Document::revision).orElse(0L));
    CachedDelta known = cachedDeltas.get(document.name());
    if (known == null || !known.key().equals(key)) {
      known = new CachedDelta(key, DocumentDelta.encode(document, base));
      cachedDeltas.put(document.name(), known);
    }
    return known.delta();
  }
}
