package kit3;

import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: reads, watches, revisions, eras and copies, as PROTOCOL says. */
final class Store {

  private record Item(String value, long revision, long created) {}

  private record Change(String key, String value, long revision, long created) {}

  /** The content at a moment. */
  record Copy(Map<String, Item> items, List<Change> log, long revision) {}

  private final Listener listener;
  private Map<String, Item> items = new TreeMap<>();
  private List<Change> log = new ArrayList<>();
  private long revision = 100;
  private long era = 1;
  private volatile boolean away;

  Store(String ip) throws IOException {
    listener = new Listener(ip, 0, socket -> serve(socket, Map.of()));
  }

  String address() {
    return listener.address();
  }

  /** Listens for one VM that reaches the servers at other addresses; returns the listener's address. */
  String addView(String ip, Map<String, String> addresses) throws IOException {
    return new Listener(ip, 0, socket -> serve(socket, addresses)).address();
  }

  /** Writes a key; the acknowledgement is the return. Returns its time. */
  synchronized long put(String key, String value) {
    revision++;
    Item known = items.get(key);
    long created = known == null ? revision : known.created();
    items.put(key, new Item(value, revision, created));
    log.add(new Change(key, value, revision, created));
    notifyAll();
    return Record.now();
  }

  /** Deletes a key; returns the time of the acknowledgement. */
  synchronized long delete(String key) {
    if (items.remove(key) != null) {
      revision++;
      log.add(new Change(key, null, revision, 0));
      notifyAll();
    }
    return Record.now();
  }

  synchronized Copy copy() {
    return new Copy(new TreeMap<>(items), new ArrayList<>(log), revision);
  }

  /** Answers nothing any more until it is back. */
  void goAway() {
    away = true;
    synchronized (this) {
      notifyAll();
    }
    listener.closeConnections();
  }

  /** Comes back with the content of a copy, in the next era. */
  synchronized void comeBack(Copy copy) {
    items = new TreeMap<>(copy.items());
    log = new ArrayList<>(copy.log());
    revision = copy.revision();
    era++;
    away = false;
    notifyAll();
  }

  private void serve(Socket socket, Map<String, String> addresses) throws IOException {
    for (Http.Message call = Http.readRequest(socket.getInputStream());
        call != null;
        call = Http.readRequest(socket.getInputStream())) {
      String answer = away ? "" : answer(call.word(1), addresses);
      if (answer.isEmpty()) {
        return;
      }
      Http.write(socket, answer);
    }
  }

  /** Returns the answer to a call; empty if the store has gone away meanwhile. */
  private String answer(String target, Map<String, String> addresses) {
    String path = target.replaceFirst("[?].*", "");
    Map<String, String> query = query(target);
    return switch (path) {
      case "/kv-key" -> key(query.get("key"), addresses);
      case "/kv-range" -> range(query, addresses);
      case "/kv-watch" -> watch(query, addresses);
      default -> response("404 Not Found", "{}");
    };
  }

  private synchronized String key(String key, Map<String, String> addresses) {
    Item item = items.get(key);
    return item == null
        ? response("404 Not Found", "{\"at\":" + revision + "}")
        : response(
            "200 OK",
            json(key, view(item.value(), addresses), item.revision(), item.created())
                .replaceFirst("[}]$", ",\"at\":" + revision + "}"));
  }

  private synchronized String range(Map<String, String> query, Map<String, String> addresses) {
    List<String> found = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (key.startsWith(query.getOrDefault("prefix", ""))
              && key.compareTo(query.getOrDefault("after", "")) > 0) {
            found.add(json(key, view(item.value(), addresses), item.revision(), item.created()));
          }
        });
    return response(
        "200 OK",
        "{\"items\":[" + String.join(",", found) + "],\"has_more\":false,\"at\":" + revision + "}");
  }

  private synchronized String watch(Map<String, String> query, Map<String, String> addresses) {
    long after = Long.parseLong(query.get("after"));
    long startEra = era;
    long endMs = Record.now() + Long.parseLong(query.getOrDefault("wait_ms", "30000"));
    if (after > revision) {
      return response("410 Gone", "{}");
    }
    List<String> found = changes(query.getOrDefault("prefix", ""), after, addresses);
    while (found.isEmpty() && Record.now() < endMs) {
      try {
        wait(Math.max(1, endMs - Record.now()));
      } catch (InterruptedException e) {
        return "";
      }
      if (away || era != startEra) {
        return "";
      }
      found = changes(query.getOrDefault("prefix", ""), after, addresses);
    }
    return response("200 OK", "{\"events\":[" + String.join(",", found) + "],\"at\":" + revision + "}");
  }

  private List<String> changes(String prefix, long after, Map<String, String> addresses) {
    List<String> found = new ArrayList<>();
    for (Change change : log) {
      if (change.revision() > after && change.key().startsWith(prefix)) {
        found.add(
            change.value() == null
                ? "{\"key\":\"" + change.key() + "\",\"revision\":" + change.revision() + ",\"deleted\":true}"
                : json(change.key(), view(change.value(), addresses), change.revision(), change.created()));
      }
    }
    return found;
  }

  private static String view(String value, Map<String, String> addresses) {
    String viewed = value;
    for (Map.Entry<String, String> address : addresses.entrySet()) {
      viewed = viewed.replace('"' + address.getKey() + '"', '"' + address.getValue() + '"');
    }
    return viewed;
  }

  private static String json(String key, String value, long revision, long created) {
    return String.format(
        "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":%d,\"lease\":0}",
        key,
        Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)),
        revision,
        created);
  }

  private String response(String status, String body) {
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nStore-Era: " + era
        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static Map<String, String> query(String target) {
    Map<String, String> fields = new HashMap<>();
    int start = target.indexOf('?');
    for (String field : start < 0 ? new String[0] : target.substring(start + 1).split("&")) {
      String[] parts = field.split("=", 2);
      fields.put(parts[0], URLDecoder.decode(parts.length < 2 ? "" : parts[1], StandardCharsets.UTF_8));
    }
    return fields;
  }
}
