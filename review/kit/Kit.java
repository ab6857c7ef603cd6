import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins and helpers that the review scripts share: store, servers, clients, daemons, record.
 */
public final class Kit {

  private Kit() {}

  /** Loopback network of this script, so that scripts that run side by side share no ports. */
  private static final String NETWORK =
      "127."
          + (1 + ProcessHandle.current().pid() / 250 % 250)
          + "."
          + ProcessHandle.current().pid() % 250
          + ".";

  /** Hosts other than 127.0.0.1, whose ports outgoing connections take. */
  static final String DAEMON_HOST = NETWORK + "2";

  static final String STORE_HOST = NETWORK + "3";
  static final String SERVER_HOST = NETWORK + "4";
  static final String ROUTE_HOST = "site.example";

  private static final long START_NANOS = System.nanoTime();

  /** Returns the milliseconds since the start of the script. */
  static long now() {
    return (System.nanoTime() - START_NANOS) / 1_000_000;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread spawn(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** The file record.txt of a case. */
  static final class Record {
    private final ConcurrentLinkedQueue<String> lines = new ConcurrentLinkedQueue<>();
    private final Path file;

    Record(Path folder) {
      file = folder.resolve("record.txt");
    }

    void add(String format, Object... values) {
      lines.add(
          String.format(Locale.ROOT, "%7d ms  ", now())
              + String.format(Locale.ROOT, format, values));
    }

    void write() throws IOException {
      Files.write(file, lines);
    }
  }

  /** A case: sets up its site, plays it and returns whether the rule held. */
  interface Case {
    /** Returns 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    int play(Record record, boolean trouble) throws Exception;
  }

  /** Runs a case, writes its record, ends its processes and exits with its result. */
  static void main(String[] args, Case scripted) throws Exception {
    Record record = new Record(Path.of(args[0]));
    boolean trouble = !"0".equals(System.getProperty("trouble"));
    record.add("TROUBLE=%d", trouble ? 1 : 0);
    Runtime.getRuntime().addShutdownHook(new Thread(Daemon::killAll));
    spawn(
        () -> {
          sleep(115_000);
          System.err.println("the case took too long");
          Daemon.killAll();
          deleteFolders();
          Runtime.getRuntime().halt(2);
        });
    int code;
    try {
      code = scripted.play(record, trouble);
    } catch (Exception e) {
      record.add("could not run: %s", e);
      e.printStackTrace();
      code = 2;
    }
    record.add("result: %d (%s)", code, code == 0 ? "held" : code == 1 ? "BROKEN" : "not run");
    record.write();
    System.out.println("result " + code);
    Daemon.killAll();
    deleteFolders();
    Runtime.getRuntime().halt(code);
  }

  // ---------------------------------------------------------------- HTTP on sockets

  /** A request as a server read it. */
  record Request(String line, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String target() {
      return line.split(" ")[1];
    }

    String id() {
      return header("X-Zinniaspan-Attempt-Id");
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        return null;
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Returns the next request; null if the connection ended before it was complete. */
  static Request readRequest(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    Map<String, String> headers = readHeaders(in);
    if (headers == null) {
      return null;
    }
    if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
      byte[] body = readChunked(in);
      return body == null ? null : new Request(line, headers, body);
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    return body.length < length ? null : new Request(line, headers, body);
  }

  private static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    while (true) {
      String field = readLine(in);
      if (field == null) {
        return null;
      }
      if (field.isEmpty()) {
        return headers;
      }
      int colon = field.indexOf(':');
      headers.put(
          field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
    }
  }

  private static byte[] readChunked(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size = readLine(in);
      if (size == null) {
        return null;
      }
      int length = Integer.parseInt(size.trim(), 16);
      byte[] part = in.readNBytes(length);
      if (part.length < length || readLine(in) == null) {
        return null;
      }
      if (length == 0) {
        return body.toByteArray();
      }
      body.write(part);
    }
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Handles the requests of one connection. */
  interface Handler {
    /** Answers a request; returns whether the connection is kept. */
    boolean handle(Request request, Socket socket) throws IOException;
  }

  /** An HTTP server with a thread for each connection. */
  static class HttpServer {
    final ServerSocket listener;
    final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile Handler handler;

    HttpServer(String host, Handler handler) throws IOException {
      this.handler = handler;
      listener = new ServerSocket();
      listener.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 512);
      spawn(this::accept);
    }

    void setHandler(Handler value) {
      handler = value;
    }

    String address() {
      return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private void accept() {
      while (true) {
        try {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          sockets.add(socket);
          spawn(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (Request request = readRequest(in); request != null; request = readRequest(in)) {
          if (!handler.handle(request, socket)) {
            return;
          }
        }
      } catch (IOException e) {
        // The caller has left.
      } finally {
        sockets.remove(socket);
      }
    }
  }

  /** What a client got. */
  static final class Answer {
    int status;
    Map<String, String> headers = Map.of();
    byte[] body = new byte[0];
    boolean complete;
    boolean closedByPeer;
    String error = "";
    long sentMs;
    long endMs;

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }

    @Override
    public String toString() {
      return "status "
          + status
          + (complete ? " complete" : " incomplete")
          + ", "
          + body.length
          + " bytes, stamp '"
          + header("X-Zinniaspan-Server-Stamp")
          + "'"
          + (error.isEmpty() ? "" : ", " + error)
          + ", "
          + (endMs - sentMs)
          + " ms";
    }
  }

  private static final ScheduledExecutorService TIMERS =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  /** A connection of a client, which is kept for several requests. */
  static final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    private final InputStream in;

    Client(InetSocketAddress address) throws IOException {
      this(address, 0);
    }

    /**
     * @param receiveBytes size of the receive buffer; 0 for the default
     */
    Client(InetSocketAddress address, int receiveBytes) throws IOException {
      if (receiveBytes > 0) {
        socket.setReceiveBufferSize(receiveBytes);
      }
      socket.connect(address, 1_000);
      socket.setTcpNoDelay(true);
      in =
          receiveBytes > 0
              ? socket.getInputStream()
              : new BufferedInputStream(socket.getInputStream());
    }

    void send(byte[] request) throws IOException {
      socket.getOutputStream().write(request);
      socket.getOutputStream().flush();
    }

    /** Sends a request and reads its answer until it is complete or the wait is over. */
    Answer call(byte[] request, int waitMs) {
      Answer answer = new Answer();
      answer.sentMs = now();
      AtomicBoolean expired = new AtomicBoolean();
      // A read timeout alone would not end a write that the other side doesn't take.
      ScheduledFuture<?> timer =
          TIMERS.schedule(
              () -> {
                expired.set(true);
                close();
              },
              waitMs,
              TimeUnit.MILLISECONDS);
      try {
        send(request);
        read(answer, 0);
      } catch (IOException e) {
        answer.closedByPeer = !expired.get();
        answer.error =
            expired.get()
                ? "no complete answer in " + waitMs + " ms"
                : String.valueOf(e.getMessage());
      } finally {
        timer.cancel(false);
      }
      answer.endMs = now();
      return answer;
    }

    /**
     * Reads an answer.
     *
     * @param bytesPerSecond speed at which the body is read; 0 for any
     */
    void read(Answer answer, int bytesPerSecond) throws IOException {
      String line = readLine(in);
      if (line == null) {
        answer.closedByPeer = true;
        throw new EOFException("closed before an answer");
      }
      answer.status = Integer.parseInt(line.split(" ")[1]);
      Map<String, String> headers = readHeaders(in);
      if (headers == null) {
        answer.closedByPeer = true;
        throw new EOFException("closed inside the head");
      }
      answer.headers = headers;
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
        while (true) {
          String size = readLine(in);
          int length = size == null ? -1 : Integer.parseInt(size.trim(), 16);
          byte[] part = length < 0 ? new byte[0] : in.readNBytes(length);
          body.write(part);
          answer.body = body.toByteArray();
          if (length < 0 || part.length < length || readLine(in) == null) {
            answer.closedByPeer = true;
            throw new EOFException("closed inside the body");
          }
          if (length == 0) {
            answer.complete = true;
            return;
          }
        }
      }
      int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
      byte[] part = new byte[8 * 1024];
      long startMs = now();
      try {
        while (body.size() < length) {
          int count = in.read(part, 0, Math.min(part.length, length - body.size()));
          if (count < 0) {
            answer.closedByPeer = true;
            throw new EOFException("closed after " + body.size() + " of " + length + " bytes");
          }
          body.write(part, 0, count);
          if (bytesPerSecond > 0) {
            sleep(startMs + body.size() * 1_000L / bytesPerSecond - now());
          }
        }
      } finally {
        answer.body = body.toByteArray();
      }
      answer.complete = true;
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // Closed already.
      }
    }
  }

  /** Returns the bytes of a client's request. */
  static byte[] request(
      String method,
      String path,
      String id,
      long deadlineMs,
      String key,
      String more,
      byte[] body) {
    String head =
        method
            + " "
            + path
            + " HTTP/1.1\r\nHost: "
            + ROUTE_HOST
            + "\r\nX-Zinniaspan-Attempt-Id: "
            + id
            + "\r\n"
            + more
            + "X-Zinniaspan-Deadline-Ms: "
            + deadlineMs
            + "\r\n"
            + (key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n")
            + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n")
            + "\r\n";
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(bytes(head));
    bytes.writeBytes(body);
    return bytes.toByteArray();
  }

  // ---------------------------------------------------------------- the platform's store

  /** The platform's store: items, ranges and watches. */
  static final class Store {
    private record Item(String value, long revision) {}

    /** Returns how long the answer to a call is under way, in milliseconds. */
    interface Delay {
      long ms(String target);
    }

    final HttpServer server;
    private final Map<String, Item> items = new TreeMap<>();
    private final List<String> changed = new ArrayList<>();
    private long revision = 100;
    private volatile Delay delay = target -> 4;

    Store() throws IOException {
      server = new HttpServer(STORE_HOST, this::handle);
    }

    void setDelay(Delay value) {
      delay = value;
    }

    synchronized void put(String key, String value) {
      revision++;
      items.put(key, new Item(value, revision));
      notifyAll();
    }

    synchronized void delete(String key) {
      revision++;
      items.put(key, new Item(null, revision));
      notifyAll();
    }

    private boolean handle(Request request, Socket socket) throws IOException {
      String target = request.target();
      Map<String, String> query = new HashMap<>();
      for (String field : target.replaceFirst("^[^?]*\\??", "").split("&")) {
        String[] parts = field.split("=", 2);
        query.put(
            parts[0], parts.length < 2 ? "" : URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
      String answer;
      if (target.startsWith("/kv-watch")) {
        answer = watch(query);
      } else {
        answer = read(target.startsWith("/kv-key"), query);
      }
      sleep(delay.ms(target));
      socket.getOutputStream().write(bytes(answer));
      return true;
    }

    private synchronized String watch(Map<String, String> query) {
      long after = Long.parseLong(query.get("after"));
      long endMs = now() + Long.parseLong(query.get("wait_ms"));
      try {
        while (revision <= after && now() < endMs) {
          wait(Math.max(1, endMs - now()));
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      List<Map.Entry<String, Item>> events = new ArrayList<>();
      items.entrySet().stream()
          .filter(
              e -> e.getValue().revision() > after && e.getKey().startsWith(query.get("prefix")))
          .sorted((a, b) -> Long.compare(a.getValue().revision(), b.getValue().revision()))
          .forEach(events::add);
      List<String> texts = events.stream().map(e -> json(e.getKey(), e.getValue(), -1)).toList();
      return response(
          "200 OK", "{\"events\":[" + String.join(",", texts) + "],\"at\":" + revision + "}");
    }

    private synchronized String read(boolean one, Map<String, String> query) {
      if (one) {
        Item item = items.get(query.get("key"));
        return item == null || item.value() == null
            ? response("404 Not Found", "{}")
            : response("200 OK", json(query.get("key"), item, revision));
      }
      List<String> found = new ArrayList<>();
      items.forEach(
          (key, item) -> {
            if (key.startsWith(query.get("prefix"))
                && item.value() != null
                && key.compareTo(query.getOrDefault("after", "")) > 0) {
              found.add(json(key, item, -1));
            }
          });
      return response(
          "200 OK",
          "{\"items\":["
              + String.join(",", found)
              + "],\"has_more\":false,\"at\":"
              + revision
              + "}");
    }

    private static String json(String key, Item item, long at) {
      String text = "{\"key\":\"" + key + "\",\"revision\":" + item.revision();
      text +=
          item.value() == null
              ? ",\"deleted\":true"
              : ",\"created\":"
                  + item.revision()
                  + ",\"lease\":0,\"value\":\""
                  + Base64.getEncoder()
                      .encodeToString(item.value().getBytes(StandardCharsets.UTF_8))
                  + "\"";
      return text + (at < 0 ? "" : ",\"at\":" + at) + "}";
    }

    private static String response(String status, String body) {
      return "HTTP/1.1 "
          + status
          + "\r\nContent-Type: application/json\r\nContent-Length: "
          + body.length()
          + "\r\n\r\n"
          + body;
    }
  }

  /** Returns the entry of a server in the store. */
  static String serverEntry(
      String service, String address, String zone, int slots, String state, long born) {
    return "{\"service\":\""
        + service
        + "\",\"address\":\""
        + address
        + "\",\"zone\":\""
        + zone
        + "\",\"version\":\"v1\",\"slots\":"
        + slots
        + ",\"state\":\""
        + state
        + "\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":"
        + born
        + "}";
  }

  // ---------------------------------------------------------------- daemons

  /** A process of the product, started with the command of the deploy file. */
  static final class Daemon {
    private static final List<Process> ALL = new CopyOnWriteArrayList<>();

    final InetSocketAddress frontend;
    final InetSocketAddress readiness;
    final String peer;
    private final List<String> command;
    private final Path log;
    private Process process;

    /** Prepares a daemon of a small deployment; its figures are those of the site file. */
    Daemon(String name, String zone, String storeAddress, List<String> peers, Path logs)
        throws IOException {
      frontend = freeAddress();
      readiness = freeAddress();
      InetSocketAddress peerAddress = freeAddress();
      peer = peerAddress.getHostString() + ":" + peerAddress.getPort();
      log = logs.resolve(name + ".log");
      List<String> seeds = new ArrayList<>(peers);
      seeds.add(peer);
      Map<String, String> values = new HashMap<>();
      values.put("zone", zone);
      values.put(
          "zones",
          "{\"recife-a\":\"recife\",\"fortaleza-a\":\"fortaleza\",\"recife-b\":\"recife\"}");
      values.put("listen.frontend", text(frontend));
      values.put("listen.readiness", text(readiness));
      values.put("listen.control_plane", peer);
      values.put("ip", DAEMON_HOST);
      values.put("seeds", String.join(",", seeds));
      values.put("platform.address", storeAddress);
      values.put("bounds.config_ms", "2500");
      values.put("bounds.revoke_ms", "5000");
      values.put("bounds.drain_ms", "2500");
      values.put("bounds.grace_s", "8");
      values.put("bounds.retry_budget_ratio", "0.2");
      values.put("bounds.retry_slack", "54");
      values.put("bounds.budget_window_s", "10");
      values.put("heartbeat_ms", "1200");
      values.put("limits.max_fds", "4100");
      values.put("limits.memory_mb", "430");
      String metrics = text(freeAddress());
      command = new ArrayList<>();
      for (String word : runCommand().split(" ")) {
        command.add(word.equals("{{ip}}:9464") ? metrics : fill(word, values));
      }
    }

    private static String runCommand() throws IOException {
      Matcher matcher =
          Pattern.compile("(?m)^run = \"(.*)\"$")
              .matcher(Files.readString(Path.of("deploy/system.toml")));
      if (!matcher.find()) {
        throw new IOException("deploy/system.toml has no run command");
      }
      return matcher.group(1);
    }

    private static String fill(String word, Map<String, String> values) {
      Matcher matcher = Pattern.compile("\\{\\{([a-z_.]+)}}").matcher(word);
      return matcher.replaceAll(m -> Matcher.quoteReplacement(values.get(m.group(1))));
    }

    private static String text(InetSocketAddress address) {
      return address.getHostString() + ":" + address.getPort();
    }

    private static InetSocketAddress freeAddress() throws IOException {
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(InetAddress.getByName(DAEMON_HOST), 0));
        return new InetSocketAddress(DAEMON_HOST, socket.getLocalPort());
      }
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(command);
      builder
          .redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      process = builder.start();
      ALL.add(process);
    }

    /** Waits until the readiness check succeeds. */
    void awaitReady(long waitMs) throws IOException {
      long endMs = now() + waitMs;
      while (now() < endMs && process.isAlive()) {
        if (isReady(500)) {
          return;
        }
        sleep(50);
      }
      throw new IOException("the daemon is not ready");
    }

    boolean isReady(int waitMs) {
      try (Client client = new Client(readiness)) {
        return client.call(bytes("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"), waitMs).status == 200;
      } catch (IOException e) {
        return false;
      }
    }

    boolean isAlive() {
      return process.isAlive();
    }

    /** Kills the process (SIGKILL) and waits for its end. */
    void kill() throws InterruptedException {
      process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }

    String log() throws IOException {
      return Files.readString(log, StandardCharsets.ISO_8859_1);
    }

    static void killAll() {
      ALL.forEach(Process::destroyForcibly);
    }
  }

  private static final List<Path> FOLDERS = new CopyOnWriteArrayList<>();

  /** Returns a folder for logs outside the repository; it is deleted at the end. */
  static Path temporaryFolder() throws IOException {
    Path folder = Files.createTempDirectory("review");
    FOLDERS.add(folder);
    return folder;
  }

  private static void deleteFolders() {
    for (Path folder : FOLDERS) {
      java.io.File[] files = folder.toFile().listFiles();
      for (java.io.File file : files == null ? new java.io.File[0] : files) {
        file.delete();
      }
      folder.toFile().delete();
    }
  }
}
