package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.always;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.okResponse;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.request;

import java.io.IOException;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Guards against requests that run, or pass their API key on, after all keys were taken away. */
@Timeout(60)
class ApiKeyRevocationTest {

  @RegisterExtension final ForwardDaemonFixture daemon = new ForwardDaemonFixture();

  @Test
  void refusesAllKeysOnceTheLastTenantIsRemoved() throws IOException {
    daemon.first.setHandler(always(okResponse("a1", "done")));
    assertThat(daemon.call(request("POST", "/unsafe/x", "", "b"))).startsWith("HTTP/1.1 200");
    daemon.publishTenantsAndAwait(4, Optional.of("[]"));
    String withKey = request("POST", "/unsafe/x", "", "b");
    assertThat(daemon.call(withKey)).startsWith("HTTP/1.1 401");
    assertThat(daemon.call(withKey.replace("key-1", "key-2"))).startsWith("HTTP/1.1 401");
    assertThat(daemon.first.requests()).hasSize(1);
  }

  @Test
  void retriesWithoutTheKeyOnceTheConfigurationHasNoTenants() throws IOException {
    daemon.first.setHandler(
        (request, socket) -> {
          daemon.publishTenantsAndAwait(4, Optional.empty());
          return false;
        });
    daemon.second.setHandler(always(okResponse("a1", "done")));
    assertThat(daemon.call(request("GET", "/safe/x", "", ""))).startsWith("HTTP/1.1 200");
    RawServer.Request seen = daemon.second.requests().get(0);
    assertThat(seen.header("X-Zinniaspan-Tenant")).isEqualTo("org-1");
    assertThat(seen.header("Authorization")).isEmpty();
  }
}
