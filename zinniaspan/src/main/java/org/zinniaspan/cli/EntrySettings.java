package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.List;
import org.zinniaspan.inventory.Finding;

/**
 * Settings of the entry daemon.
 *
 * <p>Each flag may be given as an environment variable: {@code --vm-name} as {@code
 * ZINNIASPAN_VM_NAME}. A flag goes before its variable.
 */
@Parameters(commandDescription = "Run the daemon of an entry VM.")
public final class EntrySettings {

  private static final int MIN_ADMIN_TOKEN_LENGTH = 8;

  @Parameter(names = "--help", help = true, description = "Show this help.")
  boolean help;

  @Parameter(names = "--vm-name", description = "Name of this VM, as in the platform's list.")
  String vmName = "";

  @Parameter(names = "--zone", description = "Availability zone of this VM.")
  String zone = "";

  @Parameter(names = "--listen", description = "Address for callers, host:port.")
  String listen = "127.0.0.1:8080";

  @Parameter(names = "--peer-listen", description = "Address for other VMs, host:port.")
  String peerListen = "127.0.0.1:8081";

  @Parameter(names = "--admin-listen", description = "Address for operators, host:port.")
  String adminListen = "127.0.0.1:8082";

  @Parameter(names = "--admin-token", description = "Token that operators send.")
  String adminToken = "";

  @Parameter(names = "--platform", description = "Address of the configuration service.")
  String platform = "";

  @Parameter(names = "--max-body-bytes", description = "Longest body of a caller, in bytes.")
  int maxBodyBytes = 1024 * 1024;

  @Parameter(names = "--max-in-flight", description = "Most requests at one time.")
  int maxInFlight = 400;

  @Parameter(names = "--seed", description = "Seed of all random numbers.")
  long seed = 1;

  @ParametersDelegate SlotSettings slots = new SlotSettings();
  @ParametersDelegate RoutingSettings routing = new RoutingSettings();
  @ParametersDelegate CallSettings calls = new CallSettings();
  @ParametersDelegate MembershipSettings membership = new MembershipSettings();
  @ParametersDelegate PlacementSettings placement = new PlacementSettings();

  /** Returns all faults of the settings. */
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
