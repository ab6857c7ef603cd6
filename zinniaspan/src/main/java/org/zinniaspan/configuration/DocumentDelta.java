package org.zinniaspan.configuration;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Delta encoding of a document for transfer between VMs.
 *
 * <p>The common prefix and the common suffix with the receiver's revision, the base, are omitted;
 * the bytes between them are deflated.
 *
 * @param baseRevision revision of the base; 0 for none
 * @param prefixBytes number of bytes taken from the start of the base
 * @param suffixBytes number of bytes taken from the end of the base
 * @param sha256 SHA-256 of the whole content, in hexadecimal
 * @param payload deflated content between prefix and suffix
 */
record DocumentDelta(
    long baseRevision, int prefixBytes, int suffixBytes, String sha256, byte[] payload) {

  /** Maximum length of the content of a document, in bytes. */
  static final int MAX_CONTENT_BYTES = 1024 * 1024;

  private static final int BUFFER_BYTES = 8 * 1024;

  /** Encodes a document against a base, or in full if there is none. */
  static DocumentDelta encode(Document document, Optional<Document> base) {
    byte[] content = document.content();
    byte[] old = base.map(Document::content).orElse(new byte[0]);
    int mismatch = Arrays.mismatch(old, content);
    int prefix = mismatch < 0 ? content.length : mismatch;
    int suffix = commonSuffix(old, content, Math.min(old.length, content.length) - prefix);
    byte[] middle = Arrays.copyOfRange(content, prefix, content.length - suffix);
    return new DocumentDelta(
        base.map(Document::revision).orElse(0L),
        prefix,
        suffix,
        DigestUtils.sha256Hex(content),
        deflate(middle));
  }

  private static int commonSuffix(byte[] a, byte[] b, int limit) {
    int length = 0;
    while (length < limit && a[a.length - 1 - length] == b[b.length - 1 - length]) {
      length++;
    }
    return length;
  }

  /**
   * Decodes the whole content; empty if the base does not fit, the payload is corrupt or too long,
   * or the result does not match the hash.
   */
  Optional<byte[]> decode(Optional<Document> base) {
    byte[] old = base.map(Document::content).orElse(new byte[0]);
    if (prefixBytes < 0 || suffixBytes < 0 || prefixBytes + suffixBytes > old.length) {
      return Optional.empty();
    }
    return inflate(payload)
        .map(middle -> join(old, middle))
        .filter(content -> DigestUtils.sha256Hex(content).equals(sha256));
  }

  private byte[] join(byte[] old, byte[] middle) {
    byte[] content = Arrays.copyOf(old, prefixBytes + middle.length + suffixBytes);
    System.arraycopy(middle, 0, content, prefixBytes, middle.length);
    System.arraycopy(
        old, old.length - suffixBytes, content, prefixBytes + middle.length, suffixBytes);
    return content;
  }

  private static byte[] deflate(byte[] bytes) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(bytes);
      deflater.finish();
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        out.write(buffer, 0, deflater.deflate(buffer));
      }
      return out.toByteArray();
    } finally {
      deflater.end();
    }
  }

  private static Optional<byte[]> inflate(byte[] bytes) {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(bytes);
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!inflater.finished()) {
        int count = inflater.inflate(buffer);
        if ((count == 0 && !inflater.finished()) || out.size() > MAX_CONTENT_BYTES) {
          return Optional.empty();
        }
        out.write(buffer, 0, count);
      }
      return Optional.of(out.toByteArray());
    } catch (DataFormatException e) {
      return Optional.empty();
    } finally {
      inflater.end();
    }
  }
}
