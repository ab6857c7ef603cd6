package org.zinniaspan.http;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.junit.jupiter.api.Test;

/** Guards against waiting for {@code 100 Continue}, which costs a round trip per request. */
class HttpClientExchangeTest {

  private static final int TIMEOUT_MS = 2_000;

  @Test
  void bodyIsSentWithoutExpectContinue() throws Exception {
    AtomicReference<Optional<String>> expect = new AtomicReference<>();
    AtomicReference<String> body = new AtomicReference<>();
    InetSocketAddress any = Addresses.parse("127.0.0.1:0");
    try (HttpListener listener =
        HttpListener.start(
            any,
            (request, response, context) -> {
              expect.set(expectHeader(request));
              body.set(EntityUtils.toString(request.getEntity()));
            })) {
      InetSocketAddress address = Addresses.parse("127.0.0.1:" + listener.port());
      assertThat(post(address)).isEqualTo(200);
    }
    assertThat(body.get()).isEqualTo("{\"a\":1}");
    assertThat(expect.get()).isEqualTo(Optional.empty());
  }

  private static Optional<String> expectHeader(HttpRequest request) {
    return Optional.ofNullable(request.getFirstHeader("Expect")).map(h -> h.getValue());
  }

  private static int post(InetSocketAddress address) throws Exception {
    try (HttpClientExchange exchange =
        HttpClientExchange.connect(address, TIMEOUT_MS, TIMEOUT_MS)) {
      ClassicHttpResponse response =
          exchange.execute(
              ClassicRequestBuilder.post("/x")
                  .setHttpHost(new HttpHost(address.getHostString(), address.getPort()))
                  .setEntity(
                      new StringEntity(
                          "{\"a\":1}",
                          ContentType.APPLICATION_JSON.withCharset(StandardCharsets.UTF_8)))
                  .build());
      return response.getCode();
    }
  }
}
