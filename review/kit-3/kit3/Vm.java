package kit3;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** An entry VM: a process started with the command of the deploy file. */
final class Vm {

  final String name;
  final String frontend;
  final String readiness;
  final String control;
  private final Record record;
  private final Path logs;
  private final Map<String, String> settings;
  private Process process;
  private int starts;

  Vm(Record record, Path logs, String name, String ip, Map<String, String> settings) throws IOException {
    this.record = record;
    this.logs = logs;
    this.name = name;
    this.frontend = ip + ":" + freePort(ip);
    this.readiness = ip + ":" + freePort(ip);
    this.control = ip + ":" + freePort(ip);
    this.settings = new HashMap<>(settings);
    this.settings.put("ip", ip);
    this.settings.put("listen.frontend", frontend);
    this.settings.put("listen.readiness", readiness);
    this.settings.put("listen.control_plane", control);
  }

  static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
      return socket.getLocalPort();
    }
  }

  void set(String field, String value) {
    settings.put(field, value);
  }

  void start() throws IOException {
    List<String> words = new ArrayList<>();
    for (String word : deployCommand().split(" ")) {
      words.add(fill(word));
    }
    ProcessBuilder builder = new ProcessBuilder(words);
    builder.environment().put("ZINNIASPAN_COLD_OVERRUN", "");
    builder.environment().put("ZINNIASPAN_COLD_SLACK", "");
    builder.redirectErrorStream(true);
    builder.redirectOutput(new File(logs.toFile(), name + "." + (++starts) + ".log"));
    process = builder.start();
    record.line("VM %s starts", name);
  }

  private static String deployCommand() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    throw new IOException("the deploy file has no command");
  }

  private String fill(String word) {
    String filled = word;
    for (Map.Entry<String, String> field : settings.entrySet()) {
      filled = filled.replace("{{" + field.getKey() + "}}", field.getValue());
    }
    return filled;
  }

  /** Ends the process with SIGKILL. */
  void kill() throws InterruptedException {
    record.line("VM %s is killed", name);
    process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
  }

  /** Sends a signal, such as STOP or CONT. */
  void signal(String signal) throws IOException, InterruptedException {
    record.line("VM %s gets SIG%s", name, signal);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  boolean isReady() {
    return process.isAlive()
        && Client.call(readiness, "GET /readyz HTTP/1.1\r\nHost: x", "", 1_000).status() == 200;
  }

  void awaitReady(long limitMs) {
    long endMs = Record.now() + limitMs;
    while (!isReady()) {
      if (Record.now() > endMs) {
        throw new IllegalStateException("VM " + name + " isn't ready after " + limitMs + " ms");
      }
      Server.sleep(20);
    }
    record.line("VM %s is ready", name);
  }

  void end() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
