import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins of the platform's store, of servers and of clients, and the start of daemons with the
 * command of the deploy file. All addresses are loopback addresses.
 */
final class Kit {

  static final int EXIT_HELD = 0;
  static final int EXIT_BROKEN = 1;
  static final int EXIT_NOT_RUN = 2;

  static final String HOST = "site.example";
  static final Map<String, String> REGIONS = new LinkedHashMap<>();

  private static final long START_NANOS = System.nanoTime();
  private static final Random RANDOM = new Random();

  static {
    REGIONS.put("zone-a", "west");
    REGIONS.put("zone-b", "east");
  }

  private Kit() {}

  /** Returns whether the case applies its disruption. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Returns the time since the start of the case, in milliseconds. */
  static long nowMs() {
    return (System.nanoTime() - START_NANOS) / 1_000_000;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static Thread spawn(Body body) {
    Thread thread =
        new Thread(
            () -> {
              try {
                body.run();
              } catch (Exception e) {
                // A connection ended; what it means is recorded where it matters.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  interface Body {
    void run() throws Exception;
  }

  /** Writes record.txt in the folder of the case. */
  static final class Record implements AutoCloseable {
    private final java.io.PrintWriter out;

    Record(Path folder) throws IOException {
      out = new java.io.PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt"), StandardCharsets.UTF_8));
      line("disruption " + (trouble() ? "on" : "off"));
    }

    synchronized void line(String text) {
      out.println(String.format("%7d ms  %s", nowMs(), text));
      out.flush();
    }

    @Override
    public synchronized void close() {
      out.close();
    }
  }

  // ---------------------------------------------------------------------------------------------
  // HTTP

  /** A request that a stand-in received. */
  record Request(String method, String target, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(), "");
    }
  }

  /** A response that a client received. */
  record Response(int status, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(), "");
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  /** Handles a request; returns whether the connection stays open. */
  interface Handler {
    boolean handle(Request request, Socket socket) throws IOException;
  }

  /** An HTTP server with one thread per connection. */
  static class HttpServer {
    private final InetSocketAddress address;
    private final Handler handler;
    private final Collection<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile ServerSocket listener;

    HttpServer(Handler handler) throws IOException {
      this(new InetSocketAddress(loopback(), 0), handler);
    }

    HttpServer(InetSocketAddress wanted, Handler handler) throws IOException {
      this.handler = handler;
      ServerSocket first = new ServerSocket();
      first.setReuseAddress(true);
      first.bind(wanted, 512);
      address = (InetSocketAddress) first.getLocalSocketAddress();
      accept(first);
    }

    String address() {
      return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void accept(ServerSocket socket) {
      listener = socket;
      spawn(
          () -> {
            while (true) {
              Socket client = socket.accept();
              sockets.add(client);
              spawn(() -> serve(client));
            }
          });
    }

    private void serve(Socket socket) throws IOException {
      try (socket) {
        socket.setTcpNoDelay(true);
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        while (true) {
          Request request = readRequest(in);
          if (request == null || !handler.handle(request, socket)) {
            return;
          }
        }
      } finally {
        sockets.remove(socket);
      }
    }

    /** Ends as a killed process does: no listener, all connections reset. */
    void crash() throws IOException {
      listener.close();
      for (Socket socket : sockets) {
        try {
          socket.setSoLinger(true, 0);
        } catch (IOException e) {
          // It is closed already.
        }
        socket.close();
      }
    }

    /** Listens again at the same address. */
    void restart() throws IOException {
      ServerSocket again = new ServerSocket();
      again.setReuseAddress(true);
      again.bind(address, 512);
      accept(again);
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    if (next < 0) {
      throw new IOException("ended inside a line");
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  private static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    String line = readLine(in);
    while (line != null && !line.isEmpty()) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
      line = readLine(in);
    }
    return headers;
  }

  private static byte[] readBytes(InputStream in, int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) {
      throw new IOException("ended inside a body");
    }
    return bytes;
  }

  static byte[] readChunk(InputStream in) throws IOException {
    String size = readLine(in);
    if (size == null) {
      throw new IOException("ended inside a chunked body");
    }
    byte[] part = readBytes(in, Integer.parseInt(size.split(";")[0].trim(), 16));
    if (readLine(in) == null) {
      throw new IOException("ended inside a chunked body");
    }
    return part;
  }

  private static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      for (byte[] part = readChunk(in); part.length > 0; part = readChunk(in)) {
        body.write(part);
      }
      return body.toByteArray();
    }
    return readBytes(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
  }

  private static Request readRequest(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    String[] words = line.split(" ");
    Map<String, String> headers = readHeaders(in);
    return new Request(words[0], words[1], headers, readBody(in, headers));
  }

  static void write(Socket socket, String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** A client's connection to a daemon. */
  static final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    private final InputStream in;

    Client(InetSocketAddress address, int readTimeoutMs) throws IOException {
      socket.connect(address, 5_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(readTimeoutMs);
      in = new java.io.BufferedInputStream(socket.getInputStream());
    }

    void send(String method, String target, String headers, String body) throws IOException {
      write(
          socket,
          method + ' ' + target + " HTTP/1.1\r\nHost: " + HOST + "\r\n" + headers
              + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
              + "\r\n" + body);
    }

    /** Reads the head of a response; the body is empty. */
    Response readHead() throws IOException {
      String line = readLine(in);
      if (line == null) {
        throw new IOException("closed without an answer");
      }
      return new Response(
          Integer.parseInt(line.split(" ")[1]), readHeaders(in), new byte[0]);
    }

    Response read() throws IOException {
      Response head = readHead();
      return new Response(head.status(), head.headers(), readBody(in, head.headers()));
    }

    byte[] chunk() throws IOException {
      return readChunk(in);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  static String response(String status, String headers, String body) {
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length()
        + "\r\n\r\n" + body;
  }

  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  // ---------------------------------------------------------------------------------------------
  // The platform's store

  /** The store: items, a range and a watch; it loses nothing and answers linearizably. */
  static final class Store {
    private record Item(String value, long revision, long created) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Record record;
    private final HttpServer server;
    private long revision = 10;
    private volatile boolean silent;

    Store(Record record) throws IOException {
      this.record = record;
      server = new HttpServer(this::handle);
    }

    String address() {
      return server.address();
    }

    /** Makes the store answer nothing, or answer again. */
    synchronized void setSilent(boolean value) {
      record.line("store " + (value ? "falls silent" : "answers again"));
      silent = value;
      notifyAll();
    }

    synchronized void put(String key, String value) {
      revision++;
      Item known = items.get(key);
      boolean exists = known != null && known.value() != null;
      items.put(key, new Item(value, revision, exists ? known.created() : revision));
      record.line("store acknowledges " + key + " " + value);
      notifyAll();
    }

    synchronized void delete(String key) {
      revision++;
      items.put(key, new Item(null, revision, 0));
      record.line("store removes " + key);
      notifyAll();
    }

    private static String json(String key, Item item) {
      if (item.value() == null) {
        return "{\"key\":\"" + key + "\",\"revision\":" + item.revision() + ",\"deleted\":true}";
      }
      String value =
          Base64.getEncoder().encodeToString(item.value().getBytes(StandardCharsets.UTF_8));
      return "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"revision\":" + item.revision()
          + ",\"created\":" + item.created() + ",\"lease\":0}";
    }

    private boolean handle(Request request, Socket socket) throws IOException {
      Map<String, String> query = new HashMap<>();
      String[] target = request.target().split("\\?", 2);
      for (String field : (target.length > 1 ? target[1] : "").split("&")) {
        String[] words = field.split("=", 2);
        String value = words.length > 1 ? words[1] : "";
        query.put(words[0], java.net.URLDecoder.decode(value, StandardCharsets.UTF_8));
      }
      if (silent) {
        return hold(socket);
      }
      String answer =
          target[0].equals("/kv-watch") ? watch(query) : target[0].equals("/kv-range")
              ? range(query) : key(query);
      if (silent) {
        return hold(socket);
      }
      write(socket, answer);
      return true;
    }

    /** Leaves a request unanswered until its sender closes the connection. */
    private static boolean hold(Socket socket) throws IOException {
      while (socket.getInputStream().read() >= 0) {
        // Whatever follows is not answered either.
      }
      return false;
    }

    private synchronized String key(Map<String, String> query) {
      Item item = items.get(query.getOrDefault("key", ""));
      if (item == null || item.value() == null) {
        return response("404 Not Found", "Content-Type: application/json\r\n", "{}");
      }
      String body = json(query.get("key"), item);
      return ok(body.substring(0, body.length() - 1) + ",\"at\":" + revision + "}");
    }

    private synchronized String range(Map<String, String> query) {
      StringBuilder body = new StringBuilder();
      items.forEach(
          (key, item) -> {
            if (item.value() != null
                && key.startsWith(query.getOrDefault("prefix", ""))
                && key.compareTo(query.getOrDefault("after", "")) > 0) {
              body.append(body.length() == 0 ? "" : ",").append(json(key, item));
            }
          });
      return ok("{\"items\":[" + body + "],\"has_more\":false,\"at\":" + revision + "}");
    }

    private synchronized String watch(Map<String, String> query) {
      long after = Long.parseLong(query.get("after"));
      long untilMs = nowMs() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
      String prefix = query.getOrDefault("prefix", "");
      while (true) {
        List<Map.Entry<String, Item>> found = new ArrayList<>();
        for (Map.Entry<String, Item> entry : items.entrySet()) {
          if (entry.getKey().startsWith(prefix) && entry.getValue().revision() > after) {
            found.add(entry);
          }
        }
        long leftMs = untilMs - nowMs();
        if (!found.isEmpty() || leftMs <= 0 || silent) {
          found.sort(java.util.Comparator.comparingLong(entry -> entry.getValue().revision()));
          StringBuilder body = new StringBuilder();
          for (Map.Entry<String, Item> entry : found) {
            body.append(body.length() == 0 ? "" : ",").append(json(entry.getKey(), entry.getValue()));
          }
          return ok("{\"events\":[" + body + "],\"at\":" + revision + "}");
        }
        try {
          wait(leftMs);
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      }
    }

    private static String ok(String body) {
      return response("200 OK", "Content-Type: application/json\r\n", body);
    }
  }

  // ---------------------------------------------------------------------------------------------
  // Servers

  /** What a server does with a request that it runs. */
  interface Work {
    boolean run(Server server, Request request, Socket socket) throws IOException;
  }

  /** A server of a service, registered in the store under its id. */
  static final class Server {
    final String service;
    final String zone;
    final int slots;
    volatile String id;
    volatile String version;
    volatile long born = System.currentTimeMillis();
    private final Store store;
    private final Record record;
    private final Work work;
    final HttpServer http;
    final java.util.concurrent.atomic.AtomicInteger active =
        new java.util.concurrent.atomic.AtomicInteger();

    Server(
        Store store, Record record, String id, String service, String zone, String version,
        int slots, Work work) throws IOException {
      this.store = store;
      this.record = record;
      this.id = id;
      this.service = service;
      this.zone = zone;
      this.version = version;
      this.slots = slots;
      this.work = work;
      this.http = new HttpServer(this::handle);
    }

    /** Writes the entry that the store has of this server. */
    void register(String state) {
      store.put(
          "servers/" + id,
          "{\"service\":\"" + service + "\",\"address\":\"" + http.address() + "\",\"zone\":\""
              + zone + "\",\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\""
              + state + "\",\"cold_remaining_ms\":0,\"born\":" + born + ",\"sequence\":1}");
    }

    private boolean handle(Request request, Socket socket) throws IOException {
      if (request.target().equals("/report")) {
        write(
            socket,
            response(
                "200 OK",
                "Content-Type: application/json\r\n",
                "{\"stage\":\"mixed\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                    + "\"busy\":false,\"sequence\":1,\"queued\":0,\"active\":" + active.get()
                    + ",\"kv_used\":0,\"kv_total\":670920,\"handles\":0,\"born\":" + born + "}"));
        return true;
      }
      if (request.target().equals("/healthz")) {
        write(socket, response("200 OK", "X-Zinniaspan-Instance-Id: " + id + "\r\n", ""));
        return true;
      }
      String expected = request.header("X-Zinniaspan-Expect-Instance");
      if (!expected.isEmpty() && !expected.equals(id)) {
        write(
            socket,
            response("421 Misdirected Request", "X-Zinniaspan-Instance-Id: " + id + "\r\n", ""));
        return true;
      }
      String attempt = request.header("X-Zinniaspan-Attempt-Id");
      String shown = attempt.length() > 40 ? attempt.substring(0, 40) + "..." : attempt;
      record.line("server " + id + " (" + service + ", " + version + ") runs " + shown + " "
          + request.method() + " " + request.target() + " tenant="
          + request.header("X-Zinniaspan-Tenant") + " authorization="
          + (request.header("Authorization").isEmpty() ? "none" : "passed on")
          + " last-event-id=" + request.header("Last-Event-Id"));
      active.incrementAndGet();
      try {
        return work.run(this, request, socket);
      } finally {
        active.decrementAndGet();
      }
    }

    /** Returns the headers that each answer of this server has. */
    String signed(Request request) {
      return "X-Zinniaspan-Attempt-Id: " + request.header("X-Zinniaspan-Attempt-Id")
          + "\r\nX-Zinniaspan-Server-Stamp: stamp." + id + "\r\n";
    }
  }

  // ---------------------------------------------------------------------------------------------
  // Daemons

  /** A daemon on a machine with a loopback address of its own. */
  static final class Vm {
    final String name;
    final String ip;
    Process process;

    Vm(String name, String ip) {
      this.name = name;
      this.ip = ip;
    }

    InetSocketAddress front() {
      return new InetSocketAddress(ip, FRONT_PORT);
    }

    boolean isReady() {
      try (Client client = new Client(new InetSocketAddress(ip, READY_PORT), 1_000)) {
        client.send("GET", "/readyz", "Connection: close\r\n", "");
        return client.read().status() == 200;
      } catch (IOException e) {
        return false;
      }
    }
  }

  private static final int FRONT_PORT = 8227;
  private static final int READY_PORT = 8220;
  private static final int PEER_PORT = 8229;
  private static final int METRICS_PORT = 9464;

  private static InetAddress loopback() throws IOException {
    return InetAddress.getByName("127.0.0.1");
  }

  /** Returns a loopback address at which the ports of a machine are free. */
  static String freeMachine() {
    for (int i = 0; i < 1_000; i++) {
      String ip =
          "127." + (1 + RANDOM.nextInt(250)) + "." + RANDOM.nextInt(250) + "."
              + (1 + RANDOM.nextInt(250));
      boolean free = true;
      for (int port : new int[] {FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT}) {
        try (ServerSocket probe = new ServerSocket()) {
          probe.bind(new InetSocketAddress(ip, port));
        } catch (IOException e) {
          free = false;
        }
      }
      if (free) {
        return ip;
      }
    }
    throw new IllegalStateException("no free loopback address");
  }

  /** Starts daemons, one in each named zone, with the command of the deploy file. */
  static List<Vm> startVms(Path root, Path logs, Store store, List<String> zones)
      throws IOException {
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    List<Vm> vms = new ArrayList<>();
    for (int i = 0; i < zones.size(); i++) {
      vms.add(new Vm("edge-" + zones.get(i) + "-" + (i + 1), freeMachine()));
    }
    List<String> seeds = new ArrayList<>();
    vms.stream().limit(3).forEach(vm -> seeds.add(vm.ip + ":" + PEER_PORT));
    StringBuilder regions = new StringBuilder();
    REGIONS.forEach(
        (zone, region) ->
            regions.append(regions.length() == 0 ? "" : ",")
                .append('"').append(zone).append("\":\"").append(region).append('"'));
    for (int i = 0; i < vms.size(); i++) {
      Vm vm = vms.get(i);
      Map<String, String> values = new HashMap<>();
      values.put("zone", zones.get(i));
      values.put("zones", "{" + regions + "}");
      values.put("ip", vm.ip);
      values.put("listen.frontend", vm.ip + ":" + FRONT_PORT);
      values.put("listen.readiness", vm.ip + ":" + READY_PORT);
      values.put("listen.control_plane", vm.ip + ":" + PEER_PORT);
      values.put("seeds", String.join(",", seeds));
      values.put("platform.address", store.address());
      values.put("bounds.config_ms", "2500");
      values.put("bounds.revoke_ms", "5000");
      values.put("bounds.drain_ms", "2500");
      values.put("heartbeat_ms", "1200");
      values.put("bounds.grace_s", "8");
      values.put("bounds.retry_budget_ratio", "0.2");
      values.put("bounds.retry_slack", "58");
      values.put("bounds.budget_window_s", "10");
      values.put("limits.max_fds", "4100");
      values.put("limits.memory_mb", "430");
      List<String> command = new ArrayList<>();
      for (String word : run.group(1).split(" +")) {
        Matcher placeholder = Pattern.compile("\\{\\{([a-z_.]+)}}").matcher(word);
        command.add(
            placeholder.replaceAll(
                m -> Matcher.quoteReplacement(values.getOrDefault(m.group(1), ""))));
      }
      ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
      builder.environment().put("ZINNIASPAN_COLD_OVERRUN", "");
      builder.environment().put("ZINNIASPAN_COLD_SLACK", "");
      builder.redirectErrorStream(true);
      builder.redirectOutput(logs.resolve(vm.name + ".log").toFile());
      vm.process = builder.start();
      Runtime.getRuntime().addShutdownHook(new Thread(vm.process::destroyForcibly));
    }
    return vms;
  }

  static boolean awaitReady(List<Vm> vms) {
    long untilMs = nowMs() + 30_000;
    for (Vm vm : vms) {
      while (!vm.isReady()) {
        if (nowMs() > untilMs || !vm.process.isAlive()) {
          return false;
        }
        sleep(100);
      }
    }
    return true;
  }

  static void end(List<Vm> vms) {
    for (Vm vm : vms) {
      vm.process.destroyForcibly();
      try {
        vm.process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  // ---------------------------------------------------------------------------------------------
  // The configuration

  static String route(
      String name, String prefix, String kind, String service, long timeoutMs, int attempts,
      boolean anonymous, boolean resumable) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix
        + "\",\"route_kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMs
        + ",\"target_latency_ms\":2000,\"priority\":1,\"service\":\"" + service
        + "\",\"max_attempts\":" + attempts + ",\"anonymous\":" + anonymous + ",\"sticky\":"
        + kind.equals("streaming") + ",\"resumable\":" + resumable + ",\"gap_target_ms\":800}";
  }

  static String configuration(
      int version, List<String> routes, List<String> services, Map<String, List<String>> tenants) {
    StringBuilder keys = new StringBuilder();
    tenants.forEach(
        (name, list) ->
            keys.append(keys.length() == 0 ? "" : ",")
                .append("{\"name\":\"").append(name).append("\",\"api_keys\":[")
                .append(String.join(",", list.stream().map(key -> '"' + key + '"').toList()))
                .append("],\"priority\":1}"));
    return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
        + "],\"services\":[" + String.join(",", services)
        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[" + keys + "]}";
  }

  static String service(String name, boolean model) {
    return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_connections\":370,"
        + "\"protocol\":\"h1\",\"tls\":false"
        + (model
            ? ",\"engine\":{\"slots\":64,\"kv_capacity\":670920,\"kv_bytes\":163840,"
                + "\"link_mbps\":180000.0,\"models\":[{\"name\":\"m\"}]}"
            : "")
        + "}";
  }

  /** Runs a case and exits with its result; all daemons end with this process. */
  static void main(Path folder, Case test) {
    int result = EXIT_NOT_RUN;
    try (Record record = new Record(folder)) {
      Path logs = Files.createTempDirectory("zinniaspan-case");
      try {
        result = test.run(record, folder.resolve("../..").toRealPath(), logs);
      } catch (Exception e) {
        record.line("the case could not run: " + e);
      } finally {
        if (System.getenv("KEEP_LOGS") == null) {
          Runtime.getRuntime().addShutdownHook(new Thread(() -> deleteAll(logs)));
        }
      }
      record.line("result " + result);
    } catch (IOException e) {
      System.err.println(e);
    }
    System.exit(result);
  }

  private static void deleteAll(Path folder) {
    try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    } catch (IOException e) {
      // The temporary folder stays.
    }
  }

  interface Case {
    int run(Record record, Path root, Path logs) throws Exception;
  }

  static <K, V> Map<K, V> concurrentMap() {
    return new ConcurrentHashMap<>();
  }
}
