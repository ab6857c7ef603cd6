package org.zinniaspan.transport;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Converts texts to and from header values. Connections read and write each character of a head as
 * one byte; a text is encoded in UTF-8.
 *
 * <p>Example: {@code request.setHeader("X-Name", HeaderText.encode("Cœur"));}
 */
public final class HeaderText {

  private static final char FIRST_PRINTABLE = ' ';
  private static final char DELETE = 0x7f;

  private HeaderText() {}

  /**
   * Returns whether a header can carry a text so that its receiver reads the same one: without
   * control characters, unpaired surrogates, and blanks at its ends.
   */
  public static boolean isSendable(String text) {
    boolean ascii = true;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c < FIRST_PRINTABLE || c == DELETE) {
        return false;
      }
      ascii &= c < DELETE;
    }
    return !text.startsWith(" ")
        && !text.endsWith(" ")
        && (ascii || StandardCharsets.UTF_8.newEncoder().canEncode(text));
  }

  /** Returns the header value that carries a text, with one character for each of its bytes. */
  public static String encode(String text) {
    return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  /**
   * Returns the text that a header value carries; one that is not valid UTF-8 is taken for
   * ISO-8859-1.
   */
  public static String decode(String value) {
    ByteBuffer bytes = StandardCharsets.ISO_8859_1.encode(value);
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
    } catch (CharacterCodingException e) {
      return value;
    }
  }
}
