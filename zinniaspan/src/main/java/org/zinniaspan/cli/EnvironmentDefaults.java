package org.zinniaspan.cli;

import com.beust.jcommander.IDefaultProvider;
import java.util.Locale;
import java.util.Map;

/** Takes the value of a flag that is not given from the environment. */
public final class EnvironmentDefaults implements IDefaultProvider {

  private static final String PREFIX = "ZINNIASPAN_";

  private final Map<String, String> environment;

  /** Creates a provider over the given environment variables. */
  public EnvironmentDefaults(Map<String, String> environment) {
    this.environment = environment;
  }

  /** Returns the variable that mirrors a flag: {@code --vm-name} is ZINNIASPAN_VM_NAME. */
  public static String variable(String flag) {
    return PREFIX + flag.replaceFirst("^-+", "").replace('-', '_').toUpperCase(Locale.ROOT);
  }

  @Override
  public String getDefaultValueFor(String flag) {
    return environment.get(variable(flag));
  }
}
