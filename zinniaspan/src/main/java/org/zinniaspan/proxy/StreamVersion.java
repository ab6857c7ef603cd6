package org.zinniaspan.proxy;

import java.util.List;
import java.util.Optional;
import org.zinniaspan.forwarding.TrackedEndpoint;

/** The software version at which a request's stream goes on, once it is known. */
final class StreamVersion {

  private Optional<String> version = Optional.empty();

  /** Returns whether the version is known, so that no other one may continue the stream. */
  boolean isKnown() {
    return version.isPresent();
  }

  /** Returns the version, if it is known. */
  Optional<String> value() {
    return version;
  }

  /** Sets the version that began the stream. */
  void set(String value) {
    version = Optional.of(value);
  }

  /** Returns those of some endpoints that may continue the stream; all while it has not begun. */
  List<TrackedEndpoint> filter(List<TrackedEndpoint> endpoints) {
    return version
        .map(
            required ->
                endpoints.stream()
                    .filter(endpoint -> endpoint.listed().softwareVersion().equals(required))
                    .toList())
        .orElse(endpoints);
  }
}
