package org.zinniaspan.standins;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.zinniaspan.cli.EnvironmentDefaults;
import org.zinniaspan.standins.choice.SimulateCommand;
import org.zinniaspan.standins.cost.CostCommand;
import org.zinniaspan.standins.demo.DemoCommand;
import org.zinniaspan.standins.load.ExperimentCommand;
import org.zinniaspan.standins.load.LoadCommand;
import org.zinniaspan.standins.simulation.SimulateSlotsCommand;
import org.zinniaspan.standins.site.ArchiveClassesCommand;
import org.zinniaspan.standins.soak.SoakCommand;

/**
 * Entry point of the stand-ins' command line: {@code zinniaspan-standins COMMAND [FLAGS]}.
 *
 * <p>The exit code is that of the command, 2 for a usage error or 3 if the command fails.
 */
public final class StandinsMain {

  private static final int EXIT_USAGE = 2;
  private static final int EXIT_FAILURE = 3;

  private StandinsMain() {}

  /** Runs a command and exits with its exit code. */
  public static void main(String[] args) {
    System.exit(run(args, System.getenv()));
  }

  private static int run(String[] args, Map<String, String> environment) {
    Map<String, StandinCommand> commands = new LinkedHashMap<>();
    commands.put("platform", new PlatformCommand());
    commands.put("engine", new EngineCommand());
    commands.put("service", new ServiceCommand());
    commands.put("archive-classes", new ArchiveClassesCommand());
    commands.put("soak", new SoakCommand());
    commands.put("demo", new DemoCommand());
    commands.put("load", new LoadCommand());
    commands.put("cost", new CostCommand());
    commands.put("experiment", new ExperimentCommand());
    commands.put("simulate-slots", new SimulateSlotsCommand());
    commands.put("simulate", new SimulateCommand());
    JCommander.Builder builder =
        JCommander.newBuilder()
            .programName("zinniaspan-standins")
            .defaultProvider(new EnvironmentDefaults(environment));
    commands.forEach(builder::addCommand);
    JCommander commander = builder.build();
    if (args.length > 0 && args[0].equals("--help")) {
      commander.usage();
      return 0;
    }
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println("zinniaspan-standins: " + e.getMessage());
      return EXIT_USAGE;
    }
    if (commander.getParsedCommand() == null) {
      commander.usage();
      return EXIT_USAGE;
    }
    try {
      return commands.get(commander.getParsedCommand()).run();
    } catch (Exception e) {
      System.err.println("zinniaspan-standins: " + e);
      return EXIT_FAILURE;
    }
  }
}
