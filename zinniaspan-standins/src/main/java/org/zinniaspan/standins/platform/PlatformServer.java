package org.zinniaspan.standins.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.zinniaspan.http.HttpDocumentSource;
import org.zinniaspan.http.HttpListener;
import org.zinniaspan.standins.QueryParameters;

/**
 * Stand-in for the platform's configuration service.
 *
 * <p>Readers use {@code GET /v1/documents/NAME} and the long poll {@code GET
 * /v1/watch?after=REVISION&waitMs=MS}. Operators and tests publish with {@code PUT
 * /v1/documents/NAME}, read the number of reader calls with {@code GET /counts} and inject faults
 * with {@code POST /control} and these parameters:
 *
 * <ul>
 *   <li>{@code down=BOOL}: answer readers with status 503;
 *   <li>{@code stale=BOOL}: show readers the documents as they are now, without later changes;
 *   <li>{@code mark=true}: take a snapshot of the documents;
 *   <li>{@code back=BOOL}: show readers the snapshot;
 *   <li>{@code vmsLagMs=N}: publish a list of VMs with a delay of N milliseconds.
 * </ul>
 *
 * <p>A delayed list of VMs gets its revision when it becomes visible; the response to its
 * publication has the last revision before.
 */
public final class PlatformServer implements HttpRequestHandler, AutoCloseable {

  private static final String DOCUMENTS_PATH = "/v1/documents/";
  private static final int NO_CONTENT = 204;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private static final String VMS_DOCUMENT = "vms";

  private final PlatformState state = new PlatformState();
  private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
  private final ObjectMapper mapper = new ObjectMapper();
  private final HttpListener listener;
  private volatile long vmsLagMs;

  /** Starts the stand-in; port 0 takes any free port. */
  public PlatformServer(InetSocketAddress address) throws IOException {
    listener = HttpListener.start(address, this);
  }

  /** Returns the published documents and the injected faults. */
  public PlatformState state() {
    return state;
  }

  /** Sets the delay until a published list of VMs becomes visible, in milliseconds. */
  public void setVmsLagMs(long value) {
    vmsLagMs = value;
  }

  /** Returns the bound port. */
  public int port() {
    return listener.port();
  }

  @Override
  public void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
      throws IOException {
    String path = request.getPath();
    if (path.startsWith("/control")) {
      applyControl(QueryParameters.parse(path));
      return;
    }
    if (path.equals("/counts")) {
      writeJson(response, mapper.createObjectNode().put("calls", state.calls()));
      return;
    }
    if (request.getMethod().equals("PUT") && path.startsWith(DOCUMENTS_PATH)) {
      byte[] content = EntityUtils.toByteArray(request.getEntity());
      long revision = publish(path.substring(DOCUMENTS_PATH.length()), content);
      response.setHeader(HttpDocumentSource.REVISION_HEADER, revision);
      return;
    }
    state.countCall();
    if (state.isDown()) {
      response.setCode(UNAVAILABLE);
    } else if (path.startsWith("/v1/watch")) {
      watch(QueryParameters.parse(path), response);
    } else if (path.startsWith(DOCUMENTS_PATH)) {
      writeDocument(path.substring(DOCUMENTS_PATH.length()), response);
    } else {
      response.setCode(NOT_FOUND);
    }
  }

  private long publish(String name, byte[] content) {
    if (!name.equals(VMS_DOCUMENT) || vmsLagMs == 0) {
      return state.publish(name, content);
    }
    scheduler.schedule(() -> state.publish(name, content), vmsLagMs, TimeUnit.MILLISECONDS);
    return state.revision();
  }

  private void applyControl(QueryParameters query) {
    query.get("down").ifPresent(value -> state.setDown(Boolean.parseBoolean(value)));
    query.get("stale").ifPresent(value -> state.setStale(Boolean.parseBoolean(value)));
    query.get("mark").ifPresent(value -> state.takeSnapshot());
    query.get("back").ifPresent(value -> state.setRolledBack(Boolean.parseBoolean(value)));
    setVmsLagMs(query.getLong("vmsLagMs", vmsLagMs));
  }

  private void watch(QueryParameters query, ClassicHttpResponse response) throws IOException {
    List<PlatformState.PublishedDocument> changes;
    try {
      changes = state.watch(query.getLong("after", 0), query.getLong("waitMs", 0));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      changes = List.of();
    }
    if (state.isDown()) {
      response.setCode(UNAVAILABLE);
      return;
    }
    if (changes.isEmpty()) {
      response.setCode(NO_CONTENT);
      return;
    }
    ObjectNode body = mapper.createObjectNode();
    ArrayNode rows = body.putArray("documents");
    for (PlatformState.PublishedDocument change : changes) {
      rows.addObject().put("name", change.name()).put("revision", change.revision());
    }
    writeJson(response, body);
  }

  private void writeJson(ClassicHttpResponse response, ObjectNode body) throws IOException {
    response.setEntity(
        new ByteArrayEntity(mapper.writeValueAsBytes(body), ContentType.APPLICATION_JSON));
  }

  private void writeDocument(String name, ClassicHttpResponse response) {
    Optional<PlatformState.PublishedDocument> document = state.read(name);
    if (document.isEmpty()) {
      response.setCode(NOT_FOUND);
      return;
    }
    response.setHeader(HttpDocumentSource.REVISION_HEADER, document.get().revision());
    response.setEntity(new ByteArrayEntity(document.get().content(), ContentType.APPLICATION_JSON));
  }

  @Override
  public void close() {
    scheduler.shutdownNow();
    listener.close();
  }
}
