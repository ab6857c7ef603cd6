package org.zinniaspan.proxy;

import java.util.Locale;
import java.util.Optional;
import org.apache.hc.core5.http.HttpMessage;
import org.zinniaspan.transport.HeaderText;

/**
 * Names of the headers of requests that one VM relays to another.
 *
 * <p>They are exchanged between VMs only: those in messages of clients and endpoints are dropped.
 */
public final class RelayHeaders {

  /** Prefix of all of these names, in lower case. */
  private static final String PREFIX = "zinniaspan-relay-";

  /** Peer address of the VM that relays the request. */
  static final String RELAYED_BY = "Zinniaspan-Relay-By";

  /**
   * Software version of the endpoint: in a request, the version at which the stream must go on; in
   * a response, the version that created it.
   */
  static final String SOFTWARE_VERSION = "Zinniaspan-Relay-Software-Version";

  /** In a response, the id of the endpoint that created it. */
  static final String ENDPOINT = "Zinniaspan-Relay-Endpoint";

  /** Present in a response if the VM cannot take the request, but another one may. */
  static final String REFUSED_BY_VM = "Zinniaspan-Relay-Refused-By-Vm";

  private RelayHeaders() {}

  /** Returns whether a header belongs to relayed messages; the name may be in any case. */
  public static boolean contains(String name) {
    return name.toLowerCase(Locale.ROOT).startsWith(PREFIX);
  }

  /** Returns the text of a header, if the head has it. */
  static Optional<String> value(HttpMessage head, String name) {
    return Optional.ofNullable(head.getFirstHeader(name))
        .map(header -> HeaderText.decode(header.getValue()));
  }

  /** Sets the text of a header. */
  static void set(HttpMessage head, String name, String text) {
    head.setHeader(name, HeaderText.encode(text));
  }
}
