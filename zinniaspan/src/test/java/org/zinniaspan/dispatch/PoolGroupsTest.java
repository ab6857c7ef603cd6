package org.zinniaspan.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.zinniaspan.configuration.ConfigurationStore;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.EndpointKind;
import org.zinniaspan.inventory.Pool;

class PoolGroupsTest {

  private final PoolGroups poolGroups = new PoolGroups();
  private final List<Endpoint> endpoints =
      List.of(engine("1", "b", "c"), engine("2", "a", "b"), engine("3", "d"));

  private static Endpoint engine(String name, String... models) {
    return new Endpoint(
        name, EndpointKind.ENGINE, "z", "127.0.0.1:1", List.of(models), "", 8, false, 0);
  }

  private String groupOf(String model) {
    return poolGroups.groupOf(Pool.model(model), new ConfigurationStore().current(), endpoints);
  }

  @Test
  void poolsThatShareEndpointsThroughOthersAreOneGroup() {
    assertThat(groupOf("a")).isEqualTo("model/a");
    assertThat(groupOf("b")).isEqualTo("model/a");
    assertThat(groupOf("c")).isEqualTo("model/a");
  }

  @Test
  void otherPoolsStandAlone() {
    assertThat(groupOf("d")).isEqualTo("model/d");
    assertThat(groupOf("unknown")).isEqualTo("model/unknown");
  }
}
