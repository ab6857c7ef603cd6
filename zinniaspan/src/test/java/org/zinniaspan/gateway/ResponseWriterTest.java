package org.zinniaspan.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.request.Outcome;

class ResponseWriterTest {

  private final ClassicHttpResponse response = new BasicClassicHttpResponse(200);

  private String header(String name) {
    return response.getFirstHeader(name).getValue();
  }

  @Nested
  class RefusedRequests {

    private static final Outcome.NotRun REFUSAL =
        Outcome.NotRun.retryAfter(NotRunReason.NOT_READY, 1_500);

    @Test
    void withoutKeyAreNotRun() {
      ResponseWriter.writeRefusal(response, REFUSAL, false);
      assertThat(response.getCode()).isEqualTo(503);
      assertThat(header(GatewayHeaders.OUTCOME)).isEqualTo("not-run");
      assertThat(header(GatewayHeaders.RETRY_AFTER)).isEqualTo("2");
    }

    @Test
    void withKeyAreUnknownBecauseAnEarlierAttemptMayHaveRun() {
      ResponseWriter.writeRefusal(response, REFUSAL, true);
      assertThat(header(GatewayHeaders.OUTCOME)).isEqualTo("unknown");
      assertThat(header(GatewayHeaders.RETRY_AFTER)).isEqualTo("2");
    }
  }
}
