package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.List;
import org.zinniaspan.inventory.Finding;

/**
 * Command-line settings of the entry daemon.
 *
 * <p>Each flag may also be set by an environment variable, for example {@code --vm-name} by {@code
 * ZINNIASPAN_VM_NAME}. The flag takes precedence.
 */
@Parameters(commandDescription = "Run the daemon of an entry VM.")
public final class EntrySettings {

  private static final int MIN_ADMIN_TOKEN_LENGTH = 8;

  @Parameter(names = "--help", help = true, description = "Show this help.")
  boolean help;

  @Parameter(names = "--vm-name", description = "Name of this VM, as listed by the platform.")
  String vmName = "";

  @Parameter(names = "--zone", description = "Availability zone of this VM.")
  String zone = "";

  @Parameter(names = "--listen", description = "Address to listen on for callers, host:port.")
  String listen = "127.0.0.1:8080";

  @Parameter(
      names = "--peer-listen",
      description = "Address to listen on for other VMs, host:port.")
  String peerListen = "127.0.0.1:8081";

  @Parameter(
      names = "--admin-listen",
      description = "Address of the administration API, host:port.")
  String adminListen = "127.0.0.1:8082";

  @Parameter(names = "--admin-token", description = "Token of the administration API.")
  String adminToken = "";

  @Parameter(names = "--platform", description = "Address of the configuration service, host:port.")
  String platform = "";

  @Parameter(names = "--max-body-bytes", description = "Maximum size of a request body, in bytes.")
  int maxBodyBytes = 1024 * 1024;

  @Parameter(names = "--max-in-flight", description = "Maximum number of requests in flight.")
  int maxInFlight = 400;

  @Parameter(names = "--seed", description = "Seed of the random number generators.")
  long seed = 1;

  @ParametersDelegate SlotSettings slots = new SlotSettings();
  @ParametersDelegate RoutingSettings routing = new RoutingSettings();
  @ParametersDelegate CallSettings calls = new CallSettings();
  @ParametersDelegate MembershipSettings membership = new MembershipSettings();
  @ParametersDelegate PlacementSettings placement = new PlacementSettings();

  /** Validates all settings and returns every finding. */
  public List<Finding> findings() {
    SettingsChecks checks = new SettingsChecks();
    checks.required("--vm-name", vmName);
    checks.required("--zone", zone);
    checks.address("--listen", listen);
    checks.address("--peer-listen", peerListen);
    checks.address("--admin-listen", adminListen);
    checks.address("--platform", platform);
    if (adminToken.length() < MIN_ADMIN_TOKEN_LENGTH) {
      checks.add("--admin-token", "is shorter than " + MIN_ADMIN_TOKEN_LENGTH + " characters");
    }
    checks.atLeast("--max-body-bytes", maxBodyBytes, 1);
    slots.check(checks);
    routing.check(checks);
    calls.check(checks);
    membership.check(checks);
    placement.check(checks);
    checks.atLeast("--max-in-flight", maxInFlight, 1);
    return checks.findings();
  }
}
