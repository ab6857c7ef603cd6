package org.zinniaspan.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.zinniaspan.forwarding.ColdSpec;
import org.zinniaspan.forwarding.HomeRegions;
import org.zinniaspan.forwarding.OrganisationSpec;
import org.zinniaspan.forwarding.Route;
import org.zinniaspan.forwarding.RouteKind;
import org.zinniaspan.forwarding.RoutingTable;

class ConfigurationDecoderTest {

  private static RoutingTable decode(String json) throws JsonProcessingException {
    return ConfigurationDecoder.decode(
        new ObjectMapper().readTree(json), new byte[0], Set.of("west", "east"));
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
    assertThat(table.organisation("k2"))
        .hasValue(new OrganisationSpec("o", Optional.of(1), HomeRegions.ALL));
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

  @Nested
  class AllowedRegions {

    private RoutingTable withRegions(String ofRoute) throws JsonProcessingException {
      return decode(
          "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/\","
              + "\"service\":\"s\""
              + ofRoute
              + "}]}");
    }

    private static HomeRegions homes(RoutingTable table) {
      return table.route("h", "/x").orElseThrow().homeRegions();
    }

    @Test
    void areReadOfRoutesAndOrganisations() throws JsonProcessingException {
      RoutingTable table =
          decode(
              """
              {"version":1,"routes":[{"name":"r","host":"h","prefix":"/","service":"s",
              "allowed_regions":["west","east"]}],
              "tenants":[{"name":"o","api_keys":["k"],"allowed_regions":["west"]}]}
              """);
      assertThat(homes(table)).isEqualTo(HomeRegions.of(Set.of("west", "east")));
      assertThat(table.organisation("k").orElseThrow().homeRegions())
          .isEqualTo(HomeRegions.of(Set.of("west")));
      assertThat(table.findings()).isEmpty();
    }

    @Test
    void areAllIfNoneIsStated() throws JsonProcessingException {
      for (String none :
          new String[] {"", ",\"allowed_regions\":[]", ",\"allowed_regions\":null"}) {
        assertThat(homes(withRegions(none))).isEqualTo(HomeRegions.ALL);
        assertThat(withRegions(none).findings()).isEmpty();
      }
    }

    @Test
    void areNeverWidenedByValuesThatCannotBeRead() throws JsonProcessingException {
      HomeRegions west = HomeRegions.of(Set.of("west"));
      assertThat(homes(withRegions(",\"allowed_regions\":\"west\""))).isEqualTo(west);
      assertThat(homes(withRegions(",\"allowed_regions\":[\"west\",7]"))).isEqualTo(west);
      for (String odd : new String[] {"7", "true", "{}", "{\"west\":1}", "[7]", "[[\"west\"]]"}) {
        RoutingTable table = withRegions(",\"allowed_regions\":" + odd);
        assertWithMessage(odd).that(homes(table)).isEqualTo(HomeRegions.NONE);
        assertWithMessage(odd).that(table.findings()).isNotEmpty();
      }
    }

    @Test
    void areReportedIfUnknown() throws JsonProcessingException {
      RoutingTable table = withRegions(",\"allowed_regions\":[\"north\"]");
      assertThat(homes(table)).isEqualTo(HomeRegions.of(Set.of("north")));
      assertThat(table.findings().get(0).toString())
          .contains("routes[r].allowed_regions: \"north\"");
    }
  }

  /** Guards against a configuration without a valid API key switching off the check of keys. */
  @Nested
  class ApiKeys {

    private RoutingTable withTenants(String tenants) throws JsonProcessingException {
      return decode(
          "{\"version\":1,\"routes\":[{\"host\":\"h\",\"prefix\":\"/\",\"service\":\"s\"}]"
              + tenants
              + "}");
    }

    private static boolean needsKey(RoutingTable table) {
      return table.needsKey(table.route("h", "/x").orElseThrow());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", ",\"tenants\":null"})
    void areNotNeededIfThereAreNoTenants(String tenants) throws JsonProcessingException {
      assertThat(needsKey(withTenants(tenants))).isFalse();
      assertThat(withTenants(tenants).requiresKeys()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(
        strings = {"[]", "[{\"name\":\"o\",\"api_keys\":[]}]", "[{\"name\":\"o\"}]", "[7]"})
    void areNeededOnceTheLastOneIsTakenAway(String tenants) throws JsonProcessingException {
      RoutingTable table = withTenants(",\"tenants\":" + tenants);
      assertThat(needsKey(table)).isTrue();
      assertThat(table.requiresKeys()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
        strings = {"{}", "{\"o\":{\"name\":\"o\",\"api_keys\":[\"k\"]}}", "\"o\"", "false"})
    void areNeededIfTheTenantsCannotBeRead(String tenants) throws JsonProcessingException {
      RoutingTable table = withTenants(",\"tenants\":" + tenants);
      assertThat(needsKey(table)).isTrue();
      assertThat(table.organisation("k")).isEmpty();
      String finding = table.findings().get(0).toString();
      assertThat(finding).contains("tenants: a value of type");
      assertThat(finding).doesNotContain(tenants);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a\\nb", "a\\r\\nX-Other: 1", " a", "a\\u0000", "a\\ud83d"})
    void areNotAdmittedIfNoHeaderCanNameTheirTenant(String name) throws JsonProcessingException {
      RoutingTable table =
          withTenants(
              ",\"tenants\":[{\"name\":\""
                  + name
                  + "\",\"api_keys\":[\"k\"]},{\"name\":\"Cœur\",\"api_keys\":[\"l\"]}]");
      assertThat(table.organisation("k")).isEmpty();
      assertThat(table.organisation("l").orElseThrow().name()).isEqualTo("Cœur");
      assertThat(table.findings()).hasSize(1);
      assertThat(table.findings().get(0).toString()).contains("tenants[].name");
    }

    @Test
    void areTextThatIsNotEmpty() throws JsonProcessingException {
      RoutingTable table =
          withTenants(",\"tenants\":[{\"name\":\"o\",\"api_keys\":[null,true,[],\"\",\"k\"]}]");
      assertThat(table.organisation("k")).isPresent();
      for (String odd : new String[] {"null", "true", ""}) {
        assertWithMessage(odd).that(table.organisation(odd)).isEmpty();
      }
      assertThat(table.findings()).hasSize(4);
      assertThat(table.findings().get(0).toString())
          .contains("tenants[o].api_keys: a value of type null is not an API key");
    }
  }

  @Test
  void refusesConfigurationsWithoutVersion() {
    assertThrows(IllegalArgumentException.class, () -> decode("{\"routes\":[]}"));
    assertThrows(IllegalArgumentException.class, () -> decode("{\"version\":\"7\"}"));
  }
}
