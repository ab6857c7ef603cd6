package org.zinniaspan.proxy;

import static com.google.common.truth.Truth.assertThat;

import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.Test;

class RelayHeadersTest {

  private final BasicHttpResponse response = new BasicHttpResponse(200);

  /** Guards against two VMs that know a software version by different names. */
  @Test
  void carryTextsInUtf8() {
    RelayHeaders.set(response, RelayHeaders.SOFTWARE_VERSION, "v1-α");
    assertThat(response.getFirstHeader(RelayHeaders.SOFTWARE_VERSION).getValue())
        .isEqualTo("v1-Î±");
    assertThat(RelayHeaders.value(response, RelayHeaders.SOFTWARE_VERSION)).hasValue("v1-α");
  }

  @Test
  void areReadFromVmsOfEarlierReleases() {
    response.setHeader(RelayHeaders.ENDPOINT, "i-é");
    assertThat(RelayHeaders.value(response, RelayHeaders.ENDPOINT)).hasValue("i-é");
    assertThat(RelayHeaders.value(response, RelayHeaders.RELAYED_BY)).isEmpty();
  }
}
