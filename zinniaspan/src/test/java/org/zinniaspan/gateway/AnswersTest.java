package org.zinniaspan.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.request.NotRunReason;
import org.zinniaspan.request.Outcome;

class AnswersTest {

  private final ClassicHttpResponse response = new BasicClassicHttpResponse(200);

  private String header(String name) {
    return response.getFirstHeader(name).getValue();
  }

  @Nested
  class RequestsThatAreNotTaken {

    private static final Outcome.NotRun REFUSAL =
        Outcome.NotRun.retryAfter(NotRunReason.NOT_READY, 1_500);

    @Test
    void withoutKeyAreNotRun() {
      Answers.notTaken(response, REFUSAL, false);
      assertThat(response.getCode()).isEqualTo(503);
      assertThat(header(ResponseHeaders.OUTCOME)).isEqualTo("not-run");
      assertThat(header(ResponseHeaders.RETRY_AFTER)).isEqualTo("2");
    }

    @Test
    void withKeyAreUnknownBecauseAnEarlierAttemptMayHaveRun() {
      Answers.notTaken(response, REFUSAL, true);
      assertThat(header(ResponseHeaders.OUTCOME)).isEqualTo("unknown");
      assertThat(header(ResponseHeaders.RETRY_AFTER)).isEqualTo("2");
    }
  }
}
