package org.zinniaspan.proxy;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the platform's store, with the messages written out by hand. */
final class StoreStandIn implements AutoCloseable {

  private final Map<String, String> items = new TreeMap<>();
  private final RawServer server = new RawServer(this::answer);
  private int revision = 100;
  private volatile boolean silent;

  StoreStandIn() throws IOException {}

  String address() {
    return server.address();
  }

  synchronized void put(String key, String value) {
    items.put(key, value);
    revision++;
    notifyAll();
  }

  /** From now on, nothing is answered. */
  void fallSilent() {
    silent = true;
  }

  private boolean answer(RawServer.Request request, Socket socket) throws IOException {
    String path = request.line().split(" ")[1];
    if (path.startsWith("/kv-watch")) {
      awaitChange(Integer.parseInt(path.replaceFirst(".*after=([0-9]+).*", "$1")));
    }
    if (silent) {
      return true;
    }
    RawServer.write(socket, response(path));
    return true;
  }

  private synchronized void awaitChange(int after) {
    try {
      while (revision <= after) {
        wait();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized String response(String path) {
    List<String> shown = new ArrayList<>();
    items.forEach(
        (key, value) -> {
          if (!path.startsWith("/kv-range") || key.startsWith("servers/")) {
            shown.add(item(key, value));
          }
        });
    String body;
    if (path.startsWith("/kv-key")) {
      if (!items.containsKey("op/config")) {
        return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
      }
      body = item("op/config", items.get("op/config"));
    } else {
      String name = path.startsWith("/kv-range") ? "items" : "events";
      body =
          "{\""
              + name
              + "\":["
              + String.join(",", shown)
              + "],\"has_more\":false,\"at\":"
              + revision
              + "}";
    }
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private String item(String key, String value) {
    String text = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    return "{\"key\":\""
        + key
        + "\",\"value\":\""
        + text
        + "\",\"revision\":"
        + revision
        + ",\"created\":1,\"lease\":0,\"at\":"
        + revision
        + "}";
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
