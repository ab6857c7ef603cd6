package org.zinniaspan.standins.site;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.zinniaspan.lifecycle.Closer;

/**
 * A stand-in for the platform's key-value store with revisions and watches.
 *
 * <p>Example: {@code store.put("op/config", configuration); store.setMode(Mode.SILENT);}
 */
public final class StoreStandIn implements AutoCloseable {

  /** How the store responds to calls. */
  public enum Mode {
    /** Every call is answered. */
    UP,
    /** Calls are read but never answered. */
    SILENT,
    /** Every call is answered with status 503. */
    BUSY,
    /** The connection is closed instead of answering the call. */
    CLOSING,
    /** Watches are answered with status 410, as if the history was lost; other calls succeed. */
    FORGETFUL
  }

  /** A value and the revision of its last change; the value is empty once the key is deleted. */
  private record StoredValue(Optional<String> value, long revision) {}

  private static final long FIRST_REVISION = 100;

  /** Longest wait of a watch that doesn't give {@code wait_ms}. */
  private static final long DEFAULT_WATCH_WAIT_MS = 30_000;

  private final ObjectMapper json = new ObjectMapper();
  private final Map<String, StoredValue> storedValues = new TreeMap<>();
  private final Closer closer = new Closer();
  private final RawServer server =
      closer.add(
          new RawServer((request, socket) -> handle(request, socket, UnaryOperator.identity())));
  private long revision = FIRST_REVISION;
  private volatile long epoch = 1;
  private volatile Mode mode = Mode.UP;

  /** Starts the store on a free port. */
  public StoreStandIn() throws IOException {}

  /** Returns the listening address in the form host:port. */
  public String address() {
    return server.address();
  }

  /**
   * Starts a listener on a free port that serves the same keys with rewritten values, such as other
   * addresses of endpoints.
   *
   * @return its address in the form host:port
   */
  public String addView(UnaryOperator<String> rewrite) throws IOException {
    return closer
        .add(new RawServer((request, socket) -> handle(request, socket, rewrite)))
        .address();
  }

  /** Writes a key at the next revision and wakes waiting watches. */
  public void put(String key, String value) {
    write(key, Optional.of(value));
  }

  /** Deletes a key at the next revision, which leaves a tombstone, and wakes waiting watches. */
  public void delete(String key) {
    write(key, Optional.empty());
  }

  private synchronized void write(String key, Optional<String> value) {
    revision++;
    storedValues.put(key, new StoredValue(value, revision));
    notifyAll();
  }

  /** Sets the mode for calls from now on; it applies to waiting watches too. */
  public synchronized void setMode(Mode value) {
    mode = value;
    notifyAll();
  }

  /** The content of the store at a time. */
  public static final class Copy {
    private final Map<String, StoredValue> values;
    private final long revision;

    private Copy(Map<String, StoredValue> values, long revision) {
      this.values = new TreeMap<>(values);
      this.revision = revision;
    }
  }

  /** Returns a copy of the present content. */
  public synchronized Copy copy() {
    return new Copy(storedValues, revision);
  }

  /**
   * Goes back to a copy: the epoch rises, and revisions go back and are given out again. What was
   * written since is then written again, as its writers do.
   */
  public synchronized void restore(Copy copy) {
    final Map<String, StoredValue> lost = new TreeMap<>(storedValues);
    storedValues.clear();
    storedValues.putAll(copy.values);
    revision = copy.revision;
    epoch++;
    notifyAll();
    lost.forEach(
        (key, item) -> {
          StoredValue restored = storedValues.get(key);
          if (restored == null || !restored.value().equals(item.value())) {
            write(key, item.value());
          }
        });
  }

  /** Returns the bytes of a response, which states the epoch. */
  private String response(String status, String body) {
    return RawServer.jsonResponse(status + "\r\nStore-Era: " + epoch, body);
  }

  private boolean handle(RawServer.Request request, Socket socket, UnaryOperator<String> rewrite)
      throws IOException {
    String path = request.line().split(" ")[1];
    Map<String, String> query = parseQuery(path);
    boolean isWatch = path.startsWith("/kv-watch");
    if (isWatch && mode == Mode.UP) {
      awaitChange(
          Long.parseLong(query.get("after")),
          Long.parseLong(query.getOrDefault("wait_ms", "" + DEFAULT_WATCH_WAIT_MS)));
    }
    switch (mode) {
      case SILENT -> {
        return true;
      }
      case CLOSING -> {
        return false;
      }
      case BUSY -> RawServer.write(socket, response("503 Service Unavailable", "{}"));
      case FORGETFUL ->
          RawServer.write(
              socket, isWatch ? response("410 Gone", "{}") : readResponse(path, query, rewrite));
      default -> RawServer.write(socket, readResponse(path, query, rewrite));
    }
    return true;
  }

  private synchronized void awaitChange(long afterRevision, long waitMs) {
    final long startEpoch = epoch;
    long deadlineMs = System.nanoTime() / 1_000_000 + waitMs;
    try {
      while (revision == afterRevision && epoch == startEpoch && mode == Mode.UP) {
        long remainingMs = deadlineMs - System.nanoTime() / 1_000_000;
        if (remainingMs <= 0) {
          return;
        }
        wait(remainingMs);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized String readResponse(
      String path, Map<String, String> query, UnaryOperator<String> rewrite) {
    if (path.startsWith("/kv-key")) {
      String key = query.get("key");
      StoredValue item = storedValues.get(key);
      return item == null || item.value().isEmpty()
          ? response("404 Not Found", "{}")
          : response("200 OK", toJson(key, item, rewrite).put("at", revision).toString());
    }
    boolean isWatch = path.startsWith("/kv-watch");
    if (isWatch && Long.parseLong(query.get("after")) > revision) {
      return response("410 Gone", "{}");
    }
    long afterRevision = isWatch ? Long.parseLong(query.get("after")) : 0;
    ObjectNode body = json.createObjectNode();
    ArrayNode found = body.putArray(isWatch ? "events" : "items");
    storedValues.forEach(
        (key, item) -> {
          boolean isIncluded = isWatch ? item.revision() > afterRevision : item.value().isPresent();
          if (isIncluded && key.startsWith(query.getOrDefault("prefix", ""))) {
            found.add(toJson(key, item, rewrite));
          }
        });
    body.put("has_more", false).put("at", revision);
    return response("200 OK", body.toString());
  }

  private ObjectNode toJson(String key, StoredValue item, UnaryOperator<String> rewrite) {
    ObjectNode node = json.createObjectNode().put("key", key).put("revision", item.revision());
    if (item.value().isEmpty()) {
      return node.put("deleted", true);
    }
    byte[] value = rewrite.apply(item.value().get()).getBytes(StandardCharsets.UTF_8);
    return node.put("value", Base64.getEncoder().encodeToString(value))
        .put("created", 1)
        .put("lease", 0);
  }

  private static Map<String, String> parseQuery(String path) {
    Map<String, String> fields = new HashMap<>();
    for (String field : path.replaceFirst("^[^?]*\\??", "").split("&")) {
      String[] parts = field.split("=", 2);
      fields.put(
          parts[0], parts.length < 2 ? "" : URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
    }
    return fields;
  }

  @Override
  public void close() {
    closer.close();
  }
}
