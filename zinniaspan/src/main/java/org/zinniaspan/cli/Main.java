package org.zinniaspan.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.logging.log4j.LogManager;
import org.zinniaspan.inventory.Finding;
import sun.misc.Signal;

/**
 * The command line.
 *
 * <p>Example: {@code zinniaspan entry --vm-name vm-1 --zone recife-a --platform 127.0.0.1:7000}.
 */
public final class Main {

  /** Exit code of a command that did what it was asked. */
  public static final int EXIT_OK = 0;

  /** Exit code of a check that found faults. */
  public static final int EXIT_FINDINGS = 1;

  /** Exit code of wrong flags or settings. */
  public static final int EXIT_USAGE = 2;

  /** Exit code of a command that failed at run time. */
  public static final int EXIT_FAILURE = 3;

  private Main() {}

  /** Runs the command line and exits with its code. */
  public static void main(String[] args) {
    int code = run(args, System.getenv());
    LogManager.shutdown();
    System.exit(code);
  }

  /** Runs the command line and returns its exit code. */
  public static int run(String[] args, Map<String, String> environment) {
    EntrySettings entry = new EntrySettings();
    CheckCommand check = new CheckCommand();
    ImportCommand imports = new ImportCommand();
    StatusCommand status = new StatusCommand();
    ExplainCommand explain = new ExplainCommand();
    JCommander commander =
        JCommander.newBuilder()
            .programName("zinniaspan")
            .defaultProvider(new EnvironmentDefaults(environment))
            .addCommand("entry", entry)
            .addCommand("check", check)
            .addCommand("import", imports)
            .addCommand("status", status)
            .addCommand("explain", explain)
            .build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println("zinniaspan: " + e.getMessage());
      return EXIT_USAGE;
    }
    if (commander.getParsedCommand() == null) {
      commander.usage();
      return EXIT_USAGE;
    }
    return switch (commander.getParsedCommand()) {
      case "entry" -> entry.help ? usage(commander) : entry(entry);
      case "check" -> check.help ? usage(commander) : check.run(System.out);
      case "import" -> imports.help ? usage(commander) : imports.run(System.out);
      case "status" -> status.help ? usage(commander) : status.run(System.out);
      default -> explain.help ? usage(commander) : explain.run(System.out);
    };
  }

  private static int usage(JCommander commander) {
    commander.getUsageFormatter().usage(commander.getParsedCommand());
    return EXIT_OK;
  }

  private static int entry(EntrySettings settings) {
    List<Finding> findings = settings.findings();
    if (!findings.isEmpty()) {
      findings.forEach(System.err::println);
      return EXIT_USAGE;
    }
    try (EntryDaemon daemon = EntryDaemon.start(settings)) {
      stopOnSignals(daemon);
      daemon.awaitDrained();
      return EXIT_OK;
    } catch (IOException e) {
      System.err.println("zinniaspan: " + e.getMessage());
      return EXIT_FAILURE;
    }
  }

  private static void stopOnSignals(EntryDaemon daemon) {
    AtomicInteger count = new AtomicInteger();
    for (String name : List.of("TERM", "INT")) {
      Signal.handle(
          new Signal(name),
          signal -> {
            if (count.getAndIncrement() == 0) {
              daemon.drain();
            } else {
              Runtime.getRuntime().halt(EXIT_FAILURE);
            }
          });
    }
  }
}
