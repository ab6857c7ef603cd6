package kit3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, with times since the start in milliseconds. */
final class Record {

  private static final long START = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
  }

  /** Returns the time since the start, in milliseconds. */
  static long now() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  synchronized void line(String format, Object... args) {
    out.println(String.format(Locale.ROOT, "%7d  ", now()) + String.format(Locale.ROOT, format, args));
  }

  /** Adds a line that is also printed. */
  void say(String format, Object... args) {
    line(format, args);
    System.out.println(String.format(Locale.ROOT, format, args));
  }
}
