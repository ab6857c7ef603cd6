package org.zinniaspan.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.zinniaspan.configuration.Document;
import org.zinniaspan.configuration.DocumentName;
import org.zinniaspan.configuration.DocumentSource;

/**
 * Reads and watches documents of the platform's configuration service over HTTP.
 *
 * <p>Every failure is returned as empty: a failed connection, a timeout, an unexpected status, a
 * document over the size limit, or a malformed response.
 */
public final class HttpDocumentSource implements DocumentSource {

  /** Response header that carries the revision of a document. */
  public static final String REVISION_HEADER = "X-Revision";

  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final int READ_TIMEOUT_MS = 2_000;
  private static final int MAX_DOCUMENT_BYTES = 1024 * 1024;
  private static final int OK = 200;
  private static final int NO_CONTENT = 204;

  private final InetSocketAddress address;
  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates a client of the service at the given address. */
  public HttpDocumentSource(InetSocketAddress address) {
    this.address = address;
  }

  private record Reply(int status, Optional<Long> revision, byte[] body) {}

  @Override
  public Optional<List<Change>> watch(long afterRevision, long waitMs) {
    String path = "/v1/watch?after=" + afterRevision + "&waitMs=" + waitMs;
    Optional<Reply> reply = get(path, (int) waitMs + READ_TIMEOUT_MS);
    if (reply.isEmpty()) {
      return Optional.empty();
    }
    return switch (reply.get().status()) {
      case OK -> parseChanges(reply.get().body());
      case NO_CONTENT -> Optional.of(List.of());
      default -> Optional.empty();
    };
  }

  private Optional<List<Change>> parseChanges(byte[] body) {
    try {
      List<Change> changes = new ArrayList<>();
      for (JsonNode row : mapper.readTree(body).path("documents")) {
        DocumentName.of(row.path("name").asText())
            .ifPresent(name -> changes.add(new Change(name, row.path("revision").asLong())));
      }
      return Optional.of(changes);
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  @Override
  public Optional<Document> read(DocumentName name) {
    return get("/v1/documents/" + name.label(), READ_TIMEOUT_MS)
        .filter(reply -> reply.status() == OK)
        .flatMap(
            reply -> reply.revision().map(revision -> new Document(name, revision, reply.body())));
  }

  private Optional<Reply> get(String path, int readTimeoutMs) {
    try (HttpClientExchange exchange =
        HttpClientExchange.connect(address, CONNECT_TIMEOUT_MS, readTimeoutMs)) {
      HttpHost host = new HttpHost(address.getHostString(), address.getPort());
      ClassicHttpResponse response =
          exchange.execute(ClassicRequestBuilder.get(path).setHttpHost(host).build());
      Optional<Long> revision =
          Optional.ofNullable(response.getFirstHeader(REVISION_HEADER))
              .map(header -> Long.valueOf(header.getValue()));
      return BodyReader.read(response.getEntity(), MAX_DOCUMENT_BYTES)
          .map(body -> new Reply(response.getCode(), revision, body));
    } catch (IOException | HttpException | NumberFormatException e) {
      return Optional.empty();
    }
  }
}
