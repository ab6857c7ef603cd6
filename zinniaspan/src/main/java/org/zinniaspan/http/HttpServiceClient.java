package org.zinniaspan.http;

import java.io.IOException;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.runner.SendResult;
import org.zinniaspan.runner.ServiceCall;
import org.zinniaspan.runner.ServiceClient;
import org.zinniaspan.runner.ServiceResponse;

/**
 * Sends calls to plain services over HTTP/1.1.
 *
 * <p>A failure to connect is reported as not sent; every later failure as maybe sent, because the
 * service may have run the call.
 */
public final class HttpServiceClient implements ServiceClient {

  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final int READ_TIMEOUT_MS = 15_000;
  private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

  @Override
  public SendResult send(Endpoint endpoint, ServiceCall call, String attemptId) {
    HttpClientExchange exchange;
    try {
      exchange =
          HttpClientExchange.connect(
              Addresses.parse(endpoint.address()), CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS);
    } catch (IOException e) {
      return new SendResult.NotSent(endpoint.name() + ": " + e.getMessage());
    }
    try (exchange) {
      return readResult(endpoint, exchange.execute(request(endpoint, call, attemptId)));
    } catch (IOException | HttpException e) {
      return new SendResult.MaybeSent(endpoint.name() + ": " + e.getMessage());
    }
  }

  private static SendResult readResult(Endpoint endpoint, ClassicHttpResponse response)
      throws IOException {
    Optional<byte[]> body = BodyReader.read(response.getEntity(), MAX_RESPONSE_BYTES);
    if (body.isEmpty()) {
      return new SendResult.MaybeSent(
          endpoint.name() + ": answer is longer than " + MAX_RESPONSE_BYTES + " bytes");
    }
    String contentType =
        response.getEntity() == null || response.getEntity().getContentType() == null
            ? ""
            : response.getEntity().getContentType();
    return new SendResult.Answered(
        new ServiceResponse(response.getCode(), contentType, body.get()));
  }

  private static ClassicHttpRequest request(Endpoint endpoint, ServiceCall call, String attemptId) {
    ClassicRequestBuilder builder =
        ClassicRequestBuilder.create(call.method())
            .setPath(call.path())
            .setHttpHost(OpenAiEngineClient.httpHost(endpoint))
            .addHeader("X-Request-Id", attemptId);
    call.headers().forEach(builder::addHeader);
    if (call.body().length > 0) {
      builder.setEntity(new ByteArrayEntity(call.body(), null));
    }
    return builder.build();
  }
}
