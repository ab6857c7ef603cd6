package org.zinniaspan.standins;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.standins.engine.EngineProfile;
import org.zinniaspan.standins.engine.EngineServer;

/** Command that runs an engine stand-in. */
@Parameters(commandDescription = "Run a stand-in for a model engine.")
final class EngineCommand implements StandinCommand {

  @Parameter(names = "--listen", description = "Listening address, host:port.")
  String listen = "127.0.0.1:9000";

  @Parameter(names = "--models", description = "Served models, separated by commas.")
  List<String> models = new ArrayList<>();

  @Parameter(names = "--slots", description = "Slots of the engine (requests that run at once).")
  int slots = 8;

  @Parameter(names = "--ms-per-token", description = "Base time between tokens, in milliseconds.")
  double msPerToken = 10;

  @Parameter(
      names = "--ms-per-token-per-request",
      description = "Time between tokens that each running request adds, in milliseconds.")
  double msPerTokenPerRequest = 1;

  @Parameter(names = "--prefill-tokens-per-second", description = "Prompt tokens read per second.")
  double prefillTokensPerSecond = 5_000;

  @Parameter(names = "--cache-tokens", description = "Size of the prefix cache, in tokens.")
  int cacheTokens = 20_000;

  @Parameter(names = "--report-lag-ms", description = "Age of the load reports, in milliseconds.")
  long reportLagMs = 1_000;

  @Parameter(
      names = "--checks-fencing",
      description = "Refuse placement orders with an old fencing number.")
  boolean checksFencing;

  @Override
  public int run() throws Exception {
    EngineProfile profile =
        new EngineProfile(
            slots,
            msPerToken,
            msPerTokenPerRequest,
            prefillTokensPerSecond,
            cacheTokens,
            reportLagMs,
            checksFencing);
    try (EngineServer server =
        new EngineServer(Addresses.parse(listen), profile, Set.copyOf(models))) {
      return StandinCommand.serveUntilStopped();
    }
  }
}
