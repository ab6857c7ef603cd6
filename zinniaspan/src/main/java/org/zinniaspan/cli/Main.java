package org.zinniaspan.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.zinniaspan.inventory.Finding;
import org.zinniaspan.log.EventLog;
import sun.misc.Signal;

/**
 * Entry point of the command-line interface.
 *
 * <p>Example: {@code zinniaspan entry --vm-name vm-1 --zone recife-a --platform 127.0.0.1:7000}.
 */
public final class Main {

  /** Exit code of a command that succeeded. */
  public static final int EXIT_OK = 0;

  /** Exit code of a command that completed with findings. */
  public static final int EXIT_FINDINGS = 1;

  /** Exit code for invalid flags or settings. */
  public static final int EXIT_USAGE = 2;

  /** Exit code of a command that failed at run time. */
  public static final int EXIT_FAILURE = 3;

  /** Timeout for writing the remaining log lines on exit, in milliseconds. */
  private static final long LOG_FLUSH_TIMEOUT_MS = 200;

  private Main() {}

  /** Runs the command line and exits the process with its exit code. */
  public static void main(String[] args) {
    int code = EXIT_FAILURE;
    try {
      code = run(args, System.getenv());
    } catch (Error e) {
      // An uncaught error would end the process with exit code 1, which stands for findings.
      System.err.println("zinniaspan: " + e);
    }
    if (!EventLog.flush(LOG_FLUSH_TIMEOUT_MS)) {
      // Nothing reads the log output, so the log thread would never end; halt does not wait for it.
      Runtime.getRuntime().halt(code);
    }
    System.exit(code);
  }

  /** Runs the command line and returns its exit code. */
  public static int run(String[] args, Map<String, String> environment) {
    Map<String, Command> commands = commands(args);
    JCommander commander = commander(environment, commands);
    if (args.length == 0 || args[0].equals("--help")) {
      commander.usage();
      return args.length == 0 ? EXIT_USAGE : EXIT_OK;
    }
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println("zinniaspan: " + e.getMessage());
      return EXIT_USAGE;
    }
    Command command = commands.get(commander.getParsedCommand());
    if (command.isHelp()) {
      commander.getUsageFormatter().usage(commander.getParsedCommand());
      return EXIT_OK;
    }
    return command.run(System.out);
  }

  /**
   * Returns the command that the arguments name, or all if they name none. Only what is run is set
   * up, as a daemon would otherwise inspect the flags of all commands when it starts.
   */
  private static Map<String, Command> commands(String[] args) {
    Map<String, Supplier<Command>> all = new LinkedHashMap<>();
    all.put("entry", Main::entryCommand);
    all.put("forward", ForwardCommand::new);
    all.put("trace", TraceCommand::new);
    all.put("check", CheckCommand::new);
    all.put("import", ImportCommand::new);
    all.put("status", StatusCommand::new);
    all.put("explain", ExplainCommand::new);
    if (args.length > 0 && all.containsKey(args[0])) {
      return Map.of(args[0], all.get(args[0]).get());
    }
    Map<String, Command> commands = new LinkedHashMap<>();
    all.forEach((name, command) -> commands.put(name, command.get()));
    return commands;
  }

  private static Command entryCommand() {
    EntrySettings entry = new EntrySettings();
    return Command.of(entry, () -> entry.help, out -> runEntryDaemon(entry));
  }

  private static JCommander commander(
      Map<String, String> environment, Map<String, Command> commands) {
    JCommander.Builder builder =
        JCommander.newBuilder()
            .programName("zinniaspan")
            .defaultProvider(new EnvironmentDefaults(environment));
    commands.forEach((name, command) -> builder.addCommand(name, command.parameters()));
    return builder.build();
  }

  private static int runEntryDaemon(EntrySettings settings) {
    List<Finding> findings = settings.findings();
    if (!findings.isEmpty()) {
      findings.forEach(System.err::println);
      return EXIT_USAGE;
    }
    try (EntryDaemon daemon = EntryDaemon.start(settings)) {
      drainOnSignals(daemon);
      daemon.awaitDrained();
      return EXIT_OK;
    } catch (IOException e) {
      System.err.println("zinniaspan: " + e.getMessage());
      return EXIT_FAILURE;
    }
  }

  private static void drainOnSignals(EntryDaemon daemon) {
    AtomicInteger signalCount = new AtomicInteger();
    for (String name : List.of("TERM", "INT")) {
      Signal.handle(
          new Signal(name),
          signal -> {
            if (signalCount.getAndIncrement() == 0) {
              daemon.drain();
            } else {
              Runtime.getRuntime().halt(EXIT_FAILURE);
            }
          });
    }
  }
}
