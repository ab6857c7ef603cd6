package org.zinniaspan.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.placement.Order;
import org.zinniaspan.placement.OrderClient;
import org.zinniaspan.placement.OrderResult;

/** Sends placement orders to engines with {@code POST /orders}. */
public final class HttpOrderClient implements OrderClient {

  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final int READ_TIMEOUT_MS = 2_000;
  private static final int MAX_RESPONSE_BYTES = 16 * 1024;
  private static final int OK = 200;
  private static final int CONFLICT = 409;

  private final ObjectMapper mapper = new ObjectMapper();

  @Override
  public OrderResult send(Endpoint endpoint, Order order, BooleanSupplier stillValid) {
    try (HttpClientExchange exchange =
        HttpClientExchange.connect(
            Addresses.parse(endpoint.address()), CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS)) {
      byte[] body = mapper.writeValueAsBytes(orderJson(order));
      if (!stillValid.getAsBoolean()) {
        return new OrderResult.Expired();
      }
      return readResult(
          exchange.execute(
              ClassicRequestBuilder.post("/orders")
                  .setHttpHost(OpenAiEngineClient.httpHost(endpoint))
                  .setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_JSON))
                  .build()));
    } catch (IOException | HttpException e) {
      return new OrderResult.Failed(endpoint.name() + ": " + e.getMessage());
    }
  }

  private ObjectNode orderJson(Order order) {
    ObjectNode body = mapper.createObjectNode().put("fencing", order.fencing());
    order.models().stream().sorted().forEach(body.putArray("models")::add);
    return body;
  }

  private OrderResult readResult(ClassicHttpResponse response) throws IOException {
    byte[] body = BodyReader.read(response.getEntity(), MAX_RESPONSE_BYTES).orElse(new byte[0]);
    if (response.getCode() == OK) {
      return new OrderResult.Accepted();
    }
    if (response.getCode() == CONFLICT) {
      return new OrderResult.Stale(mapper.readTree(body).path("highestFencing").asLong());
    }
    return new OrderResult.Failed("HTTP status " + response.getCode());
  }
}
