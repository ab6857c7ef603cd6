package org.zinniaspan.standins.load;

import java.util.List;

/**
 * A named set of command-line flags with which the entry daemons of a run start.
 *
 * @param name name in tables, plots and log directories
 * @param flags flags added to the command line of each daemon
 */
record EntryPolicy(String name, List<String> flags) {

  /**
   * Parses {@code NAME=FLAGS}; flags are separated by white space, and {@code =FLAGS} may be
   * absent.
   *
   * <p>Example: {@code least-load=--endpoint-policy least-load}.
   *
   * @throws IllegalArgumentException if the name is empty
   */
  static EntryPolicy parse(String text) {
    int equals = text.indexOf('=');
    if (equals == 0) {
      throw new IllegalArgumentException("policy '" + text + "' has no name; expected NAME=FLAGS");
    }
    if (equals < 0) {
      return new EntryPolicy(text, List.of());
    }
    String flags = text.substring(equals + 1).trim();
    List<String> parts = flags.isEmpty() ? List.of() : List.of(flags.split("\\s+"));
    return new EntryPolicy(text.substring(0, equals), parts);
  }
}
