package org.zinniaspan.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.http.BodyReader;
import org.zinniaspan.http.HttpClientExchange;

/** HTTP client for the administration API of one daemon. */
final class AdminClient {

  private static final int TIMEOUT_MS = 3_000;
  private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
  private static final int OK = 200;

  private AdminClient() {}

  /**
   * Sends a GET request and returns the response body.
   *
   * @param adminAddress address of the daemon's administration API, as host:port
   * @param token token of the administration API
   * @param path path to request
   * @throws IOException if the daemon cannot be reached or responds with a status other than 200,
   *     which the message quotes together with the body
   * @throws IllegalArgumentException if the address is not of the form host:port
   */
  static String get(String adminAddress, String token, String path) throws IOException {
    return execute(adminAddress, token, ClassicRequestBuilder.get(path));
  }

  /**
   * Sends a POST request with a JSON body and returns the response body.
   *
   * @param adminAddress address of the daemon's administration API, as host:port
   * @param token token of the administration API
   * @param path path to request
   * @param json the body
   * @throws IOException as {@link #get}
   * @throws IllegalArgumentException if the address is not of the form host:port
   */
  static String post(String adminAddress, String token, String path, String json)
      throws IOException {
    return execute(
        adminAddress,
        token,
        ClassicRequestBuilder.post(path).setEntity(json, ContentType.APPLICATION_JSON));
  }

  private static String execute(String adminAddress, String token, ClassicRequestBuilder request)
      throws IOException {
    InetSocketAddress address = Addresses.parse(adminAddress);
    try (HttpClientExchange exchange =
        HttpClientExchange.connect(address, TIMEOUT_MS, TIMEOUT_MS)) {
      ClassicHttpResponse response =
          exchange.execute(
              request
                  .setHttpHost(new HttpHost(address.getHostString(), address.getPort()))
                  .addHeader("Authorization", "Bearer " + token)
                  .build());
      byte[] body = BodyReader.read(response.getEntity(), MAX_RESPONSE_BYTES).orElse(new byte[0]);
      String text = new String(body, StandardCharsets.UTF_8);
      if (response.getCode() != OK) {
        throw new IOException(adminAddress + ": status " + response.getCode() + ": " + text);
      }
      return text;
    } catch (HttpException e) {
      throw new IOException(adminAddress + ": " + e.getMessage(), e);
    }
  }
}
