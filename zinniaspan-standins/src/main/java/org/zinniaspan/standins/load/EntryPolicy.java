package org.zinniaspan.standins.load;

import java.util.List;

/**
 * A named set of flags of the entry daemon.
 *
 * @param name name in tables and plots
 * @param flags flags of the entry daemon
 */
record EntryPolicy(String name, List<String> flags) {

  /**
   * Reads {@code NAME=FLAGS}, where the flags are separated by spaces and may be absent.
   *
   * <p>Example: {@code least-load=--endpoint-policy least-load}.
   */
  static EntryPolicy parse(String text) {
    int equals = text.indexOf('=');
    if (equals == 0) {
      throw new IllegalArgumentException("policy '" + text + "' has no name; give NAME=FLAGS");
    }
    if (equals < 0) {
      return new EntryPolicy(text, List.of());
    }
    String flags = text.substring(equals + 1).trim();
    List<String> parts = flags.isEmpty() ? List.of() : List.of(flags.split("\\s+"));
    return new EntryPolicy(text.substring(0, equals), parts);
  }
}
