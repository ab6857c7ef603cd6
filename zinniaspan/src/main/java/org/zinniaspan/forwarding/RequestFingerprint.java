package org.zinniaspan.forwarding;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Identifies a request by its content, so that it is known when a client sends it again.
 *
 * <p>Example: {@code RequestFingerprint.of("GET", "a.example", "/x", apiKey, body)} returns {@code
 * "request:3f2a..."}. All methods are pure functions.
 */
public final class RequestFingerprint {

  private static final String PREFIX = "request:";

  /** Length of a fingerprint, in bytes. */
  private static final int BYTES = 16;

  private RequestFingerprint() {}

  /**
   * Returns the fingerprint of a request.
   *
   * @param target path and query
   * @param apiKey key of the caller, if one was sent
   */
  public static String of(
      String method, String host, String target, Optional<String> apiKey, byte[] body) {
    MessageDigest digest = newDigest();
    add(digest, method);
    add(digest, host);
    add(digest, target);
    add(digest, apiKey.orElse(""));
    digest.update(body);
    return PREFIX + HexFormat.of().formatHex(digest.digest(), 0, BYTES);
  }

  /** Returns whether a trait of a request is its fingerprint, not a part of its prompt. */
  static boolean isFingerprint(String trait) {
    return trait.startsWith(PREFIX);
  }

  private static void add(MessageDigest digest, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
    digest.update(bytes);
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("each Java platform has SHA-256", e);
    }
  }
}
