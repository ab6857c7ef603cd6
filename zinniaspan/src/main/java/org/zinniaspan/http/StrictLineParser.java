package org.zinniaspan.http;

import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.message.LazyLineParser;
import org.apache.hc.core5.http.message.RequestLine;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parses the lines of heads by the grammar of RFC 9110 and RFC 9112.
 *
 * <p>HttpCore's parsers accept field names with blanks and control characters, and any three digits
 * as a status. Another recipient may read such a head as another message, so it must not be passed
 * on. Status 101 is refused, as no request asks for another protocol.
 */
public final class StrictLineParser extends LazyLineParser {

  /** The parser, which has no state. */
  public static final StrictLineParser INSTANCE = new StrictLineParser();

  private static final char DELETE = 0x7f;
  private static final String TOKEN_CHARACTERS = "!#$%&'*+-.^_`|~";
  private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*";

  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1[.][0-9] (?!101)[1-5][0-9]{2}(?: " + TEXT + ")?");

  private static final Pattern REQUEST_LINE =
      Pattern.compile(
          "[0-9A-Za-z"
              + Pattern.quote(TOKEN_CHARACTERS)
              + "]+ [\\x21-\\x7e\\x80-\\xff]+ HTTP/1[.][0-9]");

  /** Longest part of a line that an error quotes, in characters. */
  private static final int MAX_QUOTED_LENGTH = 40;

  private StrictLineParser() {}

  @Override
  public StatusLine parseStatusLine(CharArrayBuffer line) throws ParseException {
    if (!STATUS_LINE.matcher(line).matches()) {
      throw new ParseException(
          "'"
              + quoted(line, line.length())
              + "' is not 'HTTP/1.x', a status of 100 to 599 other than 101, and a reason");
    }
    return super.parseStatusLine(line);
  }

  @Override
  public RequestLine parseRequestLine(CharArrayBuffer line) throws ParseException {
    if (!REQUEST_LINE.matcher(line).matches()) {
      throw new ParseException(
          "'" + quoted(line, line.length()) + "' is not a method, a target and 'HTTP/1.x'");
    }
    return super.parseRequestLine(line);
  }

  /** Parses a header line; an error names the field, and does not quote its value. */
  @Override
  public Header parseHeader(CharArrayBuffer line) throws ParseException {
    int colon = line.indexOf(':');
    if (colon <= 0 || !isToken(line, colon)) {
      throw new ParseException(
          "'" + quoted(line, Math.max(0, colon)) + "' is not the name of a header field");
    }
    if (!isText(line, colon)) {
      throw new ParseException(
          "the value of '" + quoted(line, colon) + "' contains a control character");
    }
    return super.parseHeader(line);
  }

  private static boolean isToken(CharArrayBuffer line, int end) {
    for (int i = 0; i < end; i++) {
      char c = line.charAt(i);
      boolean alphanumeric =
          (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
      if (!alphanumeric && TOKEN_CHARACTERS.indexOf(c) < 0) {
        return false;
      }
    }
    return true;
  }

  private static boolean isText(CharArrayBuffer line, int start) {
    for (int i = start; i < line.length(); i++) {
      char c = line.charAt(i);
      if ((c < ' ' && c != '\t') || c == DELETE) {
        return false;
      }
    }
    return true;
  }

  private static String quoted(CharArrayBuffer line, int end) {
    return line.substring(0, Math.min(end, MAX_QUOTED_LENGTH));
  }
}
