package org.zinniaspan.inventory;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What an endpoint serves. */
public enum EndpointKind {
  /** A model engine. */
  @JsonProperty("engine")
  ENGINE,
  /** A plain service. */
  @JsonProperty("service")
  SERVICE
}
