package org.zinniaspan.standins.site;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.zinniaspan.standins.StandinCommand;

/**
 * Writes the class data sharing (CDS) archive from which a daemon starts.
 *
 * <p>Starts a daemon with two others and sends it requests of each kind, with and without faults,
 * so that the archive holds the classes of the whole request path. A daemon that starts from the
 * archive loads these classes without reading a class file.
 */
@Parameters(commandDescription = "Write the class data sharing archive from which a daemon starts.")
public final class ArchiveClassesCommand implements StandinCommand {

  /** Time in which slots become required and are assigned, in milliseconds. */
  private static final long SLOT_REQUESTS_MS = 3_500;

  /** Delay of each response and event: short, as only the order of events matters here. */
  private static final long ENDPOINT_DELAY_MS = 1;

  /** Enough for the daemon to find out that it reaches no endpoint, and to relay some. */
  private static final int REQUESTS_WITHOUT_ENDPOINTS = 6;

  private static final long STOP_TIMEOUT_S = 10;
  private static final String ORGANISATION_KEY = "key-1";

  /** Headers of a request to a model, so that the classes that choose an engine are loaded too. */
  private static final String PROMPT_HEADERS =
      "X-Zinniaspan-Token-Usage: 6000,80\r\n"
          + "X-Zinniaspan-Prefix-Hash: 5c1e:800,91bd:4200,e440:1000\r\n";

  /** One of the parts in {@link #PROMPT_HEADERS}. */
  private static final String CRASHING_PART = "91bd";

  private static final long ENDPOINT_DOWN_MS = 400;
  private static final int PROMPTS_THAT_CRASH = 4;

  @Parameter(
      names = "--output",
      description = "Path of the archive file to write.",
      required = true)
  private String output;

  @Parameter(names = "--logs", description = "Directory for the daemon's log.", required = true)
  private String logDirectory;

  @Parameter(names = "--class-path", description = "Class path of the daemon.", required = true)
  private String classPath;

  @Override
  public int run() throws Exception {
    Path archive = Path.of(output);
    Files.deleteIfExists(archive);
    try (LocalSite site = new LocalSite(Path.of(logDirectory))) {
      site.addEndpoint("i-1", "zone-a", ENDPOINT_DELAY_MS);
      site.addEndpoint("i-2", "zone-b", ENDPOINT_DELAY_MS);
      site.addEndpoint("i-3", "zone-b", "v2", ENDPOINT_DELAY_MS);
      site.publishConfiguration(List.of(ORGANISATION_KEY));
      LocalSite.LaunchOptions plain =
          new LocalSite.LaunchOptions(List.of("-XX:+UseSerialGC"), classPath, Optional.empty());
      LocalSite.awaitReady(site.startDaemon("peer-1", "zone-a", plain));
      LocalSite.awaitReady(site.startDaemon("peer-2", "zone-b", plain));
      LocalSite.DaemonProcess daemon =
          site.startDaemon(
              "archive",
              "zone-a",
              new LocalSite.LaunchOptions(
                  List.of("-XX:+UseSerialGC", "-XX:ArchiveClassesAtExit=" + archive),
                  classPath,
                  Optional.empty()));
      LocalSite.awaitReady(daemon);
      exerciseAllPaths(site, daemon);
      daemon.process().terminate();
      daemon.process().awaitExit(STOP_TIMEOUT_S);
    }
    if (!Files.exists(archive)) {
      System.err.println(
          "the daemon wrote no class data sharing archive; see its log in " + logDirectory);
      return 1;
    }
    return 0;
  }

  private static void exerciseAllPaths(LocalSite site, LocalSite.DaemonProcess daemon)
      throws IOException {
    for (EndpointStandIn.Fault fault : EndpointStandIn.Fault.values()) {
      site.endpoints().values().forEach(endpoint -> endpoint.setFault(fault));
      sendRequest(daemon, "GET", "/safe/x", "");
      sendRequest(daemon, "POST", "/unsafe/x", "X-Zinniaspan-Deadline-Ms: 300\r\n");
      sendRequest(daemon, "POST", "/chat/x", PROMPT_HEADERS + "X-Zinniaspan-Deadline-Ms: 300\r\n");
    }
    site.endpoints().values().forEach(e -> e.setFault(EndpointStandIn.Fault.NONE));
    sendRequest(daemon, "GET", "/none/x", "");
    sendRequest(daemon, "GET", "/safe/x", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n");
    disconnectMidStream(daemon);
    sendRequest(daemon, "POST", "/chat/x", "Last-Event-Id: 3\r\nResumes: unknown\r\n");
    receiveRelayedRequest(daemon);
    try (RawClient metrics = new RawClient(daemon.metricsAddress())) {
      metrics.send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      metrics.readAll();
    }
    for (String path :
        List.of("members", "catalog", "engines", "stream-origins", "stream-origin", "slots")) {
      try (RawClient peer = new RawClient(daemon.peerAddress())) {
        peer.send(
            "POST /fleet/"
                + path
                + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                + "Content-Length: 0\r\n\r\n");
        peer.readAll();
      }
    }
    site.store().restore(site.store().copy());
    sendRequestsThatNeedSlots(site, daemon);
    sendPromptsThatCrashEndpoints(site, daemon);
    sendRequestsWithoutEndpoints(site, daemon);
    site.putEndpointEntry("i-2", "draining");
    site.store().delete("servers/i-2");
    site.publishConfiguration(List.of("key-2"));
    site.store().setMode(StoreStandIn.Mode.FORGETFUL);
    site.store().setMode(StoreStandIn.Mode.BUSY);
    sendRequest(daemon, "GET", "/safe/x", "");
  }

  /** Sends a request as another VM does that reaches no endpoint. */
  private static void receiveRelayedRequest(LocalSite.DaemonProcess daemon) throws IOException {
    SiteClient client = new SiteClient("relayed", ORGANISATION_KEY);
    try (RawClient peer = new RawClient(daemon.peerAddress())) {
      peer.send(
          client.formatRequest(
              client.nextAttemptId(),
              "POST",
              "/chat/x",
              "Connection: close\r\nZinniaspan-Relay-By: 127.0.0.2:1\r\n" + PROMPT_HEADERS));
      peer.readAll();
    }
  }

  /** Lets endpoints state a rejection limit until VMs assign each other their slots. */
  private static void sendRequestsThatNeedSlots(LocalSite site, LocalSite.DaemonProcess daemon)
      throws IOException {
    for (EndpointStandIn endpoint : site.endpoints().values()) {
      endpoint.setRoom(Optional.of(new EndpointRoom(1, 1, 1)), ENDPOINT_DOWN_MS);
    }
    long endMs = System.currentTimeMillis() + SLOT_REQUESTS_MS;
    while (System.currentTimeMillis() < endMs) {
      sendRequest(daemon, "GET", "/safe/x", "");
      sendRequest(daemon, "POST", "/chat/x", PROMPT_HEADERS);
    }
    site.endpoints().values().forEach(e -> e.setRoom(Optional.empty(), ENDPOINT_DOWN_MS));
    sendRequest(daemon, "GET", "/safe/x", "");
  }

  /** Lets endpoints crash until the daemon refuses the prompt. */
  private static void sendPromptsThatCrashEndpoints(LocalSite site, LocalSite.DaemonProcess daemon)
      throws IOException {
    for (EndpointStandIn endpoint : site.endpoints().values()) {
      endpoint.setCrashingPart(Optional.of(CRASHING_PART), ENDPOINT_DOWN_MS);
    }
    for (int i = 0; i < PROMPTS_THAT_CRASH; i++) {
      sendRequest(daemon, "POST", "/chat/x", PROMPT_HEADERS);
    }
  }

  /** Ends all endpoints, so that the daemon relays requests to the others. */
  private static void sendRequestsWithoutEndpoints(LocalSite site, LocalSite.DaemonProcess daemon)
      throws IOException {
    for (EndpointStandIn endpoint : site.endpoints().values()) {
      endpoint.close();
    }
    for (int i = 0; i < REQUESTS_WITHOUT_ENDPOINTS; i++) {
      sendRequest(daemon, "POST", "/chat/x", PROMPT_HEADERS);
      sendRequest(daemon, "GET", "/safe/x", "");
    }
  }

  private static void sendRequest(
      LocalSite.DaemonProcess daemon, String method, String path, String fields)
      throws IOException {
    new SiteClient("archive", ORGANISATION_KEY).call(daemon.callerAddress(), method, path, fields);
  }

  /** Starts a stream and closes the connection before the response is complete. */
  private static void disconnectMidStream(LocalSite.DaemonProcess daemon) throws IOException {
    SiteClient client = new SiteClient("archive", ORGANISATION_KEY);
    try (RawClient connection = new RawClient(daemon.callerAddress())) {
      connection.send(
          client.formatRequest(client.nextAttemptId(), "POST", "/chat/x", PROMPT_HEADERS));
      connection.readUntil("id: 1");
    }
  }
}
