package org.zinniaspan.http;

import java.net.InetSocketAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats socket addresses such as {@code 10.0.0.7:8000} or {@code [::1]:8000}. */
public final class Addresses {

  private static final Pattern FORM = Pattern.compile("[0-9A-Za-z.:_\\[\\]-]+:([0-9]{1,5})");
  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /**
   * Parses an address; a host name is resolved.
   *
   * @throws IllegalArgumentException if the text has no host, or no valid port number
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("'" + text + "' is not of the form host:port");
    }
    String host = text.substring(0, colon).replace("[", "").replace("]", "");
    return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
  }

  /** Returns whether a text has the form of an address; a host name is not resolved. */
  public static boolean isValid(String text) {
    Matcher matcher = FORM.matcher(text);
    return matcher.matches() && Integer.parseInt(matcher.group(1)) <= MAX_PORT;
  }

  /** Formats an address as {@code host:port}. */
  public static String format(InetSocketAddress address) {
    return address.getHostString() + ':' + address.getPort();
  }
}
