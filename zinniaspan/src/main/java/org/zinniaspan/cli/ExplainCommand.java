package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;

/** Prints the recent events that a daemon logged about one request. */
@Parameters(commandDescription = "Show the routing decisions for one request.")
public final class ExplainCommand implements Command {

  @Parameter(names = "--help", help = true, description = "Show this help.")
  boolean help;

  @Parameter(names = "--admin", description = "Address of the daemon's administration API.")
  String admin = "127.0.0.1:8082";

  @Parameter(names = "--admin-token", description = "Token of the administration API.")
  String token = "";

  @Parameter(names = "--request-id", description = "Value of the response's X-Request-Id header.")
  String requestId = "";

  @Override
  public boolean isHelp() {
    return help;
  }

  @Override
  public int run(PrintStream out) {
    if (requestId.isBlank()) {
      out.println("explain: --request-id is missing; it is the response's X-Request-Id header");
      return Main.EXIT_USAGE;
    }
    return StatusCommand.print(out, admin, token, "/explain/" + requestId);
  }
}
