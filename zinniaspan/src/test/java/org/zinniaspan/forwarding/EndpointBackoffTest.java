package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class EndpointBackoffTest {

  private long nowMs = 10_000;
  private final EndpointBackoff backoff = new EndpointBackoff(() -> nowMs);
  private final ListedEndpoint endpoint = listed("e", 1);

  private static ListedEndpoint listed(String id, long startedAtMs) {
    return new ListedEndpoint(id, "service", "10.0.0.1:80", "z", "v1", 6, false, startedAtMs);
  }

  @Test
  void pausesTheEndpointForItsTime() {
    backoff.onRejected(endpoint, 1_500);
    assertThat(backoff.admits(endpoint)).isFalse();
    assertThat(backoff.remainingMs(endpoint)).isEqualTo(1_500);
    nowMs += 1_500;
    assertThat(backoff.admits(endpoint)).isTrue();
  }

  @Test
  void doesNotConcernTheNextIncarnation() {
    backoff.onRejected(endpoint, 1_500);
    assertThat(backoff.admits(listed("e", 2))).isTrue();
  }

  @Test
  void doesNotConcernOtherEndpoints() {
    backoff.onRejected(endpoint, 1_500);
    assertThat(backoff.admits(listed("f", 1))).isTrue();
  }
}
