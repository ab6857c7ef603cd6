package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.always;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.okResponse;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.request;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against endpoints that get another name than that of the tenant that holds the key. */
@Timeout(60)
class TenantNameTest {

  @RegisterExtension final ForwardDaemonFixture daemon = new ForwardDaemonFixture();

  @ParameterizedTest
  @ValueSource(strings = {"Cœur d’Armor", "上海", "Café", "🚀"})
  void reachesEndpointsInUtf8(String name) throws IOException {
    daemon.first.setHandler(always(okResponse("a1", "done")));
    daemon.publishTenantsAndAwait(
        4, Optional.of("[{\"name\":\"" + name + "\",\"api_keys\":[\"key-1\"]}]"));
    assertThat(daemon.call(request("POST", "/unsafe/x", "", "b"))).startsWith("HTTP/1.1 200");
    String value = daemon.first.requests().get(0).header("X-Zinniaspan-Tenant");
    assertThat(new String(value.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8))
        .isEqualTo(name);
  }
}
