package org.zinniaspan.http;

import java.net.URI;
import java.util.function.BiFunction;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpRequestFactory;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.message.BasicHttpRequest;

/**
 * Creates requests whose path is their target as it was sent.
 *
 * <p>HttpCore reads a target as a URI: {@code //shop/x} would become the path {@code /x} of a host
 * {@code shop}, and what follows {@code #} would be dropped. Only the absolute form of a target,
 * such as {@code http://shop/x}, is a URI.
 */
public final class RequestTargets {

  /** Selects the constructors that take a path as it is, and not as a URI. */
  private static final HttpHost NO_HOST = null;

  /** Creates the requests of non-blocking connections. */
  public static final HttpRequestFactory<HttpRequest> FACTORY =
      factory(RequestTargets::request, BasicHttpRequest::new, BasicHttpRequest::new);

  /** Creates the requests of blocking connections. */
  static final HttpRequestFactory<ClassicHttpRequest> CLASSIC_FACTORY =
      factory(
          (method, path) -> new BasicClassicHttpRequest(method, NO_HOST, path),
          BasicClassicHttpRequest::new,
          BasicClassicHttpRequest::new);

  private RequestTargets() {}

  /**
   * Returns a request to send.
   *
   * @param path path with the query, which is sent unchanged
   */
  public static HttpRequest request(String method, String path) {
    return new BasicHttpRequest(method, NO_HOST, path);
  }

  private static <T extends HttpRequest> HttpRequestFactory<T> factory(
      BiFunction<String, String, T> ofPath,
      BiFunction<String, String, T> ofAbsoluteForm,
      BiFunction<String, URI, T> ofUri) {
    return new HttpRequestFactory<>() {
      @Override
      public T newHttpRequest(String method, String target) {
        return (target.startsWith("/") ? ofPath : ofAbsoluteForm).apply(method, target);
      }

      @Override
      public T newHttpRequest(String method, URI uri) {
        return ofUri.apply(method, uri);
      }
    };
  }
}
