package org.zinniaspan.forwarding;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An endpoint's entry in the platform's list.
 *
 * @param id id of the endpoint's incarnation
 * @param service name of its service
 * @param address address on which it listens, as host:port
 * @param zone its availability zone
 * @param softwareVersion version of the software that it runs; empty if not stated
 * @param slots requests that it processes concurrently
 * @param draining whether it is shutting down and accepts no new requests
 * @param startedAtMs start of this incarnation, in milliseconds since the epoch; 0 if not stated
 * @param coldRemainingMs time for which it remains cold after the entry was written or passed on,
 *     in milliseconds; empty if not stated
 */
public record ListedEndpoint(
    String id,
    String service,
    String address,
    String zone,
    String softwareVersion,
    int slots,
    boolean draining,
    long startedAtMs,
    Optional<Long> coldRemainingMs) {

  /** Largest number of slots of a valid entry. */
  public static final int MAX_SLOTS = 10_000;

  /** Largest length of each text of a valid entry, in characters. */
  static final int MAX_TEXT_LENGTH = 256;

  /** Latest start of a valid entry, in milliseconds since the epoch: the year 9999. */
  private static final long MAX_STARTED_AT_MS = 253_402_300_799_999L;

  private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";

  private static final Pattern ADDRESS =
      Pattern.compile("(?:" + OCTET + "[.]){3}" + OCTET + ":([0-9]{1,5})");

  private static final int MAX_PORT = 65_535;

  /** Creates the entry of an endpoint that is not cold. */
  public ListedEndpoint(
      String id,
      String service,
      String address,
      String zone,
      String softwareVersion,
      int slots,
      boolean draining,
      long startedAtMs) {
    this(
        id, service, address, zone, softwareVersion, slots, draining, startedAtMs, Optional.of(0L));
  }

  /** Returns this entry with another time for which the endpoint remains cold. */
  public ListedEndpoint withCold(Optional<Long> remainingMs) {
    return new ListedEndpoint(
        id, service, address, zone, softwareVersion, slots, draining, startedAtMs, remainingMs);
  }

  /** Returns whether two entries differ at most in the time for which the endpoint is cold. */
  boolean equalsExceptCold(ListedEndpoint other) {
    return withCold(Optional.empty()).equals(other.withCold(Optional.empty()));
  }

  /**
   * Returns which value is out of the bounds within which endpoints can be selected and sent to;
   * empty if the entry is valid. Entries come from other programs, and from VMs of other releases.
   */
  public Optional<String> findViolation() {
    if (slots < 1 || slots > MAX_SLOTS) {
      return Optional.of("slots " + slots + " is not in 1.." + MAX_SLOTS);
    }
    if (startedAtMs < 0 || startedAtMs > MAX_STARTED_AT_MS) {
      return Optional.of("start " + startedAtMs + " is not in 0.." + MAX_STARTED_AT_MS);
    }
    if (service.isEmpty() || isTooLong(service) || isTooLong(zone) || isTooLong(softwareVersion)) {
      return Optional.of("a text is empty or longer than " + MAX_TEXT_LENGTH + " characters");
    }
    return isAddress(address)
        ? Optional.empty()
        : Optional.of("the address is not an IPv4 address with a port in 1.." + MAX_PORT);
  }

  private static boolean isTooLong(String text) {
    return text.length() > MAX_TEXT_LENGTH;
  }

  /** Returns whether a text is an address that can be used without a name lookup. */
  private static boolean isAddress(String text) {
    Matcher matcher = ADDRESS.matcher(text);
    if (!matcher.matches()) {
      return false;
    }
    int port = Integer.parseInt(matcher.group(1));
    return port >= 1 && port <= MAX_PORT;
  }
}
