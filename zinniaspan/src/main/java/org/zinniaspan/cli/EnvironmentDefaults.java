package org.zinniaspan.cli;

import com.beust.jcommander.IDefaultProvider;
import java.util.Locale;
import java.util.Map;

/** Default provider that reads flags absent from the command line from environment variables. */
public final class EnvironmentDefaults implements IDefaultProvider {

  private static final String PREFIX = "ZINNIASPAN_";

  private final Map<String, String> environment;

  /** Creates a provider that reads the given environment variables. */
  public EnvironmentDefaults(Map<String, String> environment) {
    this.environment = environment;
  }

  /** Returns the environment variable of a flag: {@code --vm-name} has ZINNIASPAN_VM_NAME. */
  public static String variable(String flag) {
    return PREFIX + flag.replaceFirst("^-+", "").replace('-', '_').toUpperCase(Locale.ROOT);
  }

  @Override
  public String getDefaultValueFor(String flag) {
    return environment.get(variable(flag));
  }
}
