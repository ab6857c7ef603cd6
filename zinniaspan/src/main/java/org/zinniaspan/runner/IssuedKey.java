package org.zinniaspan.runner;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Idempotency key issued by a VM; only the process that issued it runs calls with it.
 *
 * <p>Example: {@code zk1:entry-1:1767225600000:1767225612345:17}.
 *
 * @param vm name of the VM that issued it
 * @param incarnation incarnation of the process that issued it
 * @param issuedMs time of issue in milliseconds by that process's clock
 * @param sequence sequence number of the key within that process
 */
record IssuedKey(String vm, long incarnation, long issuedMs, long sequence) {

  private static final Pattern TEXT_PATTERN =
      Pattern.compile("zk1:([A-Za-z0-9._-]+):(\\d{1,18}):(\\d{1,18}):(\\d{1,18})");

  /** Parses a key as callers send it; empty if the caller chose the key itself. */
  static Optional<IssuedKey> parse(String text) {
    Matcher matcher = TEXT_PATTERN.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(
        new IssuedKey(
            matcher.group(1),
            Long.parseLong(matcher.group(2)),
            Long.parseLong(matcher.group(3)),
            Long.parseLong(matcher.group(4))));
  }

  /** Returns the key as callers send it. */
  String text() {
    return "zk1:" + vm + ':' + incarnation + ':' + issuedMs + ':' + sequence;
  }
}
