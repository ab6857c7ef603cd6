package org.zinniaspan.configuration;

import java.util.List;
import java.util.Map;
import org.zinniaspan.inventory.Inventory;
import org.zinniaspan.inventory.Rules;
import org.zinniaspan.inventory.VmList;

/** Configurations for tests of other packages. */
public final class TestConfigurations {

  private TestConfigurations() {}

  /** Returns a configuration with the given inventory and list of VMs; all else is empty. */
  public static Configuration of(Inventory inventory, VmList vms) {
    return new Configuration(
        inventory, new Rules(List.of(), List.of(), ""), List.of(), vms, Map.of());
  }
}
