package org.zinniaspan.standins;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.standins.service.ServiceServer;

/** Command that runs a plain-service stand-in. */
@Parameters(commandDescription = "Run a stand-in for a plain service that counts its calls.")
final class ServiceCommand implements StandinCommand {

  @Parameter(names = "--listen", description = "Listening address, host:port.")
  String listen = "127.0.0.1:9500";

  @Parameter(names = "--delay-ms", description = "Time that each call takes, in milliseconds.")
  long delayMs = 20;

  @Override
  public int run() throws Exception {
    try (ServiceServer server = new ServiceServer(Addresses.parse(listen), delayMs)) {
      return StandinCommand.serveUntilStopped();
    }
  }
}
