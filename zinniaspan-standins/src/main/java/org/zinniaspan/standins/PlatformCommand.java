package org.zinniaspan.standins;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.standins.platform.PlatformServer;

/** Command that runs the platform stand-in. */
@Parameters(
    commandDescription =
        "Run a stand-in for the configuration service that publishes the given files.")
final class PlatformCommand implements StandinCommand {

  @Parameter(names = "--listen", description = "Listening address, host:port.")
  String listen = "127.0.0.1:7000";

  @Parameter(names = "--documents", description = "Directory with files NAME.json to publish.")
  String documents = "";

  @Parameter(
      names = "--vms-lag-ms",
      description = "Delay until a list of VMs becomes visible, in milliseconds.")
  long vmsLagMs;

  @Override
  public int run() throws Exception {
    try (PlatformServer server = new PlatformServer(Addresses.parse(listen))) {
      for (String name : List.of("inventory", "organisations", "rules", "vms")) {
        Path file = Path.of(documents, name + ".json");
        if (!documents.isEmpty() && Files.exists(file)) {
          server.state().publish(name, Files.readAllBytes(file));
        }
      }
      server.setVmsLagMs(vmsLagMs);
      return StandinCommand.serveUntilStopped();
    }
  }
}
