package org.zinniaspan.standins.soak;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.zinniaspan.standins.StandinCommand;

/**
 * Runs soak tests with the given seeds and prints the violated guarantees.
 *
 * <p>Example: {@code bin/soak --seed 1 --count 50 --minutes 0.5}
 */
@Parameters(commandDescription = "Run daemons under random faults and check their guarantees.")
public final class SoakCommand implements StandinCommand {

  private static final double SECONDS_PER_MINUTE = 60;

  /** Most log lines of one file that are printed for a violation. */
  private static final int MAX_TRACE_LINES = 20;

  @Parameter(names = "--seed", description = "Seed of the first soak test.")
  private long seed = 1;

  @Parameter(names = "--count", description = "Number of soak tests; each uses the next seed.")
  private int soakCount = 1;

  @Parameter(
      names = "--minutes",
      description = "How long each soak test injects faults, in minutes.")
  private double minutes = 0.5;

  @Parameter(names = "--daemons", description = "Number of daemons in each soak test.")
  private int daemonCount = 3;

  @Parameter(names = "--logs", description = "Directory for the logs.")
  private String logDirectory = "target/soak";

  @Override
  public int run() throws Exception {
    int failed = 0;
    for (long next = seed; next < seed + soakCount; next++) {
      Path directory = Path.of(logDirectory, "seed-" + next);
      SoakRun soak =
          new SoakRun(next, Math.round(minutes * SECONDS_PER_MINUTE), daemonCount, directory);
      List<String> violations = soak.run();
      System.out.printf(
          "seed %d: %d calls, %d violations%n", next, soak.callCount(), violations.size());
      if (!violations.isEmpty()) {
        failed++;
        System.out.printf(
            "reproduce with: bin/soak --seed %d --minutes %s --daemons %d%n",
            next, minutes, daemonCount);
        for (String line : violations) {
          System.out.println("  " + line);
          printTrace(directory, line.split(" ")[0]);
        }
      }
    }
    return failed == 0 ? 0 : 1;
  }

  private static void printTrace(Path directory, String id) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      for (Path file : files.sorted().toList()) {
        Files.readAllLines(file, StandardCharsets.UTF_8).stream()
            .filter(line -> line.contains('"' + id + '"'))
            .limit(MAX_TRACE_LINES)
            .forEach(line -> System.out.println("    " + file.getFileName() + " " + line));
      }
    }
  }
}
