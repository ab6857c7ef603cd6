package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;

/**
 * Prints the status of one daemon: readiness, requests in flight, document revisions, live members,
 * and the owners of the roles and of the pools.
 */
@Parameters(commandDescription = "Show the status of a running daemon.")
public final class StatusCommand implements Command {

  @Parameter(names = "--help", help = true, description = "Show this help.")
  boolean help;

  @Parameter(names = "--admin", description = "Address of the daemon's administration API.")
  String admin = "127.0.0.1:8082";

  @Parameter(names = "--admin-token", description = "Token of the administration API.")
  String token = "";

  @Override
  public boolean isHelp() {
    return help;
  }

  @Override
  public int run(PrintStream out) {
    return print(out, admin, token, "/status");
  }

  /** Prints the response of the administration API to a GET and returns the exit code. */
  static int print(PrintStream out, String admin, String token, String path) {
    try {
      out.println(AdminClient.get(admin, token, path));
      return Main.EXIT_OK;
    } catch (IOException | IllegalArgumentException e) {
      out.println("zinniaspan: " + e.getMessage());
      return Main.EXIT_FAILURE;
    }
  }
}
