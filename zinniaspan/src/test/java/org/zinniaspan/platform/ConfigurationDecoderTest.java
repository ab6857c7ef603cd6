package org.zinniaspan.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.zinniaspan.forwarding.ColdSpec;
import org.zinniaspan.forwarding.OrganisationSpec;
import org.zinniaspan.forwarding.Route;
import org.zinniaspan.forwarding.RouteKind;
import org.zinniaspan.forwarding.RoutingTable;

class ConfigurationDecoderTest {

  private static RoutingTable decode(String json) throws JsonProcessingException {
    return ConfigurationDecoder.decode(new ObjectMapper().readTree(json), new byte[0]);
  }

  @Test
  void readsRoutesServicesAndKeys() throws JsonProcessingException {
    RoutingTable table =
        decode(
            """
            {"version":7,"routes":[{"name":"r","host":"H.example","prefix":"/a/",
            "route_kind":"streaming","timeout_ms":15000,"target_latency_ms":2000,"priority":2,
            "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}],
            "max_attempts":2,"resumable":true,"gap_target_ms":800}],
            "services":[{"name":"s","max_connections":370,"engine":{"slots":64,"kv_capacity":9}}],
            "limits":{"max_header_bytes":1000},
            "tenants":[{"name":"o","api_keys":["k1","k2"],"priority":1}]}
            """);
    Route route = table.route("h.example", "/a/b").orElseThrow();
    assertThat(table.version()).isEqualTo(7);
    assertThat(route.kind()).isEqualTo(RouteKind.STREAMING);
    assertThat(route.isIdempotent()).isTrue();
    assertThat(route.serviceAt(0.95)).isEqualTo("t");
    assertThat(table.modelServices()).containsExactly("s");
    assertThat(table.organisation("k2")).hasValue(new OrganisationSpec("o", Optional.of(1)));
    assertThat(table.limits().maxHeaderBytes()).isEqualTo(1000);
    assertThat(table.needsKey(route)).isTrue();
  }

  private static Optional<ColdSpec> cold(String fields) throws JsonProcessingException {
    RoutingTable table =
        decode("{\"version\":1,\"services\":[{\"name\":\"s\"" + fields + "},{\"name\":\"t\"}]}");
    assertThat(table.service("t")).isPresent();
    return table.service("s").orElseThrow().cold();
  }

  @Test
  void readsWhatColdEndpointsTake() throws JsonProcessingException {
    assertThat(cold(",\"cold_start_s\":3.0,\"cold_per_s\":8.5")).hasValue(new ColdSpec(3_000, 8.5));
    assertThat(cold(",\"cold_per_s\":8")).hasValue(new ColdSpec(0, 8));
    assertThat(cold(",\"cold_start_s\":0.0,\"cold_per_s\":0.0")).isEmpty();
    assertThat(cold("")).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        ",\"cold_start_s\":3,\"cold_per_s\":-1",
        ",\"cold_start_s\":-3,\"cold_per_s\":1",
        ",\"cold_start_s\":3,\"cold_per_s\":1e300",
        ",\"cold_start_s\":1e300,\"cold_per_s\":1",
        ",\"cold_start_s\":3,\"cold_per_s\":\"8.5\"",
        ",\"cold_start_s\":null,\"cold_per_s\":8.5"
      })
  void goesOnAfterImpossibleColdSettings(String fields) throws JsonProcessingException {
    assertThat(cold(fields)).isEmpty();
  }

  @Test
  void treatsAnUnknownKindAsNonIdempotent() throws JsonProcessingException {
    RoutingTable table =
        decode(
            "{\"version\":1,\"routes\":[{\"host\":\"h\",\"prefix\":\"/\",\"route_kind\":\"new\","
                + "\"service\":\"s\",\"resumable\":true}]}");
    assertThat(table.route("h", "/x").orElseThrow().isIdempotent()).isFalse();
  }

  @Test
  void refusesConfigurationsWithoutVersion() {
    assertThrows(IllegalArgumentException.class, () -> decode("{\"routes\":[]}"));
    assertThrows(IllegalArgumentException.class, () -> decode("{\"version\":\"7\"}"));
  }
}
