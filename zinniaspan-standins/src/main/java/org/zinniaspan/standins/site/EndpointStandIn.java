package org.zinniaspan.standins.site;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * A stand-in for an endpoint that records each request it executes and can inject a fault.
 *
 * <p>Paths below {@code /chat/} are answered with a stream of {@value #EVENT_COUNT} events, all
 * others with a text that contains the attempt id. Each event names the version of the endpoint's
 * software. {@code /report} returns the load report. Example: {@code
 * endpoint.setFault(Fault.REJECT);}
 */
public final class EndpointStandIn implements AutoCloseable {

  /** Version of the software unless another one is given. */
  public static final String DEFAULT_SOFTWARE = "v1";

  /** Number of events in a complete stream. */
  static final int EVENT_COUNT = 6;

  /** The fault to inject into each request. */
  public enum Fault {
    /** No fault: the request is executed and answered completely. */
    NONE,
    /** The request is rejected with status 503 and is not executed. */
    REJECT,
    /** The request is executed and answered with status 500. */
    ERROR,
    /** The request is executed, and the connection is closed in the middle of the response. */
    CUT,
    /** The request is executed and never answered; the connection stays open. */
    HANG,
    /** The request is executed, and the same response is sent twice; a stream is sent once. */
    EXTRA,
    /** The request is executed, and closing the connection marks the end of its response. */
    UNFRAMED,
    /** The request is executed, and its stream ends inside an event, as if it were complete. */
    END_IN_EVENT,
    /** The request is executed, and its response has no end. */
    ENDLESS
  }

  /**
   * One execution of a request.
   *
   * @param endpoint id of the endpoint that executed the request
   * @param attemptId id of the client attempt
   * @param lastEventId id of the last event that the client received; 0 for an execution from the
   *     start
   * @param organisation organisation for which the request was executed
   * @param requestLine HTTP request line
   */
  public record Execution(
      String endpoint,
      String attemptId,
      int lastEventId,
      String organisation,
      String requestLine) {}

  private static final long NANOS_PER_MS = 1_000_000;

  /** Bytes after which an endless response is given up, as its receiver should have done. */
  private static final long MAX_ENDLESS_BYTES = 64L << 20;

  private static final String ENDLESS_PART = "x".repeat(16 * 1024);

  private final String name;
  private final String software;
  private final RawServer server = new RawServer(this::handle);
  private final Map<String, List<Execution>> executions = new ConcurrentHashMap<>();
  private final AtomicInteger active = new AtomicInteger();
  private final Queue<Long> arrivalsMs = new ConcurrentLinkedQueue<>();
  private final AtomicInteger crashes = new AtomicInteger();
  private final ScheduledExecutorService restarts = Executors.newSingleThreadScheduledExecutor();
  private final long delayMs;
  private volatile Fault fault = Fault.NONE;
  private volatile Optional<String> crashingPart = Optional.empty();
  private volatile Optional<String> crashingPath = Optional.empty();
  private volatile long downMs;
  private volatile Optional<Double> requestLimit = Optional.empty();
  private volatile Optional<EndpointRoom> room = Optional.empty();
  private volatile Consumer<String> returnListener = previousId -> {};
  private volatile String id;

  /**
   * Starts an endpoint on a free port.
   *
   * @param id id of the endpoint
   * @param software version of its software
   * @param delayMs delay before a response and before each event of a stream, in milliseconds
   */
  public EndpointStandIn(String id, String software, long delayMs) throws IOException {
    this.name = id;
    this.id = id;
    this.software = software;
    this.delayMs = delayMs;
  }

  /** Returns the listening address in the form host:port. */
  public String address() {
    return server.address();
  }

  /** Returns the id of this endpoint; each incarnation has its own. */
  public String id() {
    return id;
  }

  /** Returns the version of this endpoint's software. */
  public String software() {
    return software;
  }

  /** Sets the fault to inject into requests from now on. */
  public void setFault(Fault value) {
    fault = value;
  }

  /**
   * Makes the endpoint crash when it begins to answer a prompt that contains a part.
   *
   * @param part id of the part; empty to answer all prompts
   * @param forMs time after which it accepts connections again, in milliseconds
   */
  public void setCrashingPart(Optional<String> part, long forMs) {
    downMs = forMs;
    crashingPart = part;
  }

  /**
   * Makes the endpoint crash when it runs a request to a path, before it answers.
   *
   * @param path end of the path; empty to answer all requests
   * @param forMs time after which it accepts connections again, in milliseconds
   */
  public void setCrashingPath(Optional<String> path, long forMs) {
    downMs = forMs;
    crashingPath = path;
  }

  /**
   * Makes the endpoint state in its answers how many requests it takes from all VMs together.
   *
   * @param perSecond requests a second; empty to state none
   */
  public void setRequestLimit(Optional<Double> perSecond) {
    requestLimit = perSecond;
  }

  /**
   * Limits how many requests the endpoint takes at a time. Once it has to reject too many, it
   * fails, and returns as another incarnation.
   *
   * @param value its slots and queue; empty to take all requests
   * @param forMs time after which it accepts connections again, in milliseconds
   */
  public void setRoom(Optional<EndpointRoom> value, long forMs) {
    downMs = forMs;
    room = value;
  }

  /** Sets what is called with the previous id when the endpoint returns under another one. */
  void setReturnListener(Consumer<String> listener) {
    returnListener = listener;
  }

  /** Returns the number of times that the endpoint crashed. */
  public int crashes() {
    return crashes.get();
  }

  /** Returns when requests arrived, in milliseconds since the epoch, oldest first. */
  public List<Long> arrivalsMs() {
    return List.copyOf(arrivalsMs);
  }

  /**
   * Returns the largest number of requests that arrived in a span of time.
   *
   * @param spanMs length of the span, in milliseconds
   * @param afterMs time from which requests count, in milliseconds since the epoch
   */
  public int mostArrivals(long spanMs, long afterMs) {
    List<Long> arrivals = arrivalsMs.stream().filter(ms -> ms >= afterMs).sorted().toList();
    int most = 0;
    int first = 0;
    for (int last = 0; last < arrivals.size(); last++) {
      while (arrivals.get(last) - arrivals.get(first) >= spanMs) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /** Returns all executions, grouped by client attempt. */
  public List<Execution> executions() {
    return executions.values().stream().flatMap(Collection::stream).toList();
  }

  private boolean handle(RawServer.Request request, Socket socket) throws IOException {
    String[] words = request.line().split(" ");
    if (words[1].equals("/report")) {
      String body = "{\"queued\":0,\"active\":" + active.get() + ",\"born\":1}";
      RawServer.write(socket, RawServer.jsonResponse("200 OK", body));
      return true;
    }
    arrivalsMs.add(System.currentTimeMillis());
    String attemptId = request.header("X-Zinniaspan-Attempt-Id");
    String expectedInstance = request.header("X-Zinniaspan-Expect-Instance");
    if (!expectedInstance.isEmpty() && !expectedInstance.equals(id)) {
      RawServer.write(
          socket, responseHead("421 Misdirected Request", attemptId, "Content-Length: 0"));
      return true;
    }
    if (fault == Fault.REJECT) {
      reject(attemptId, socket);
      return true;
    }
    return room.isPresent()
        ? executeInRoom(request, attemptId, room.get(), socket)
        : executeActive(request, attemptId, socket);
  }

  private boolean executeInRoom(
      RawServer.Request request, String attemptId, EndpointRoom limited, Socket socket)
      throws IOException {
    EndpointRoom.Arrival arrival = limited.arrive(System.currentTimeMillis());
    if (arrival == EndpointRoom.Arrival.ADMITTED) {
      limited.takeSlot();
      try {
        return executeActive(request, attemptId, socket);
      } finally {
        limited.leave();
      }
    }
    reject(attemptId, socket);
    if (arrival == EndpointRoom.Arrival.FAILING) {
      String previousId = id;
      crash(
          () -> {
            limited.onReturn();
            id = name + '.' + crashes.get();
            returnListener.accept(previousId);
          });
      return false;
    }
    return true;
  }

  private void reject(String attemptId, Socket socket) throws IOException {
    RawServer.write(
        socket,
        responseHead(
            "503 Service Unavailable",
            attemptId,
            "X-Zinniaspan-Not-Executed: 1\r\nContent-Length: 0"));
  }

  private boolean executeActive(RawServer.Request request, String attemptId, Socket socket)
      throws IOException {
    active.incrementAndGet();
    try {
      return execute(request, attemptId, fault, socket);
    } finally {
      active.decrementAndGet();
    }
  }

  private boolean execute(
      RawServer.Request request, String attemptId, Fault currentFault, Socket socket)
      throws IOException {
    String lastEventIdHeader = request.header("Last-Event-Id");
    int lastEventId = lastEventIdHeader.isEmpty() ? 0 : Integer.parseInt(lastEventIdHeader);
    executions
        .computeIfAbsent(attemptId, key -> new CopyOnWriteArrayList<>())
        .add(
            new Execution(
                id, attemptId, lastEventId, request.header("X-Zinniaspan-Tenant"), request.line()));
    pause();
    if (currentFault == Fault.HANG) {
      return true;
    }
    if (currentFault == Fault.ERROR) {
      RawServer.write(
          socket, responseHead("500 Internal Server Error", attemptId, "Content-Length: 0"));
      return true;
    }
    if (crashingPath.map(path -> request.line().contains(path + " ")).orElse(false)) {
      crash(() -> {});
      return false;
    }
    if (makesCrash(request)) {
      RawServer.write(socket, streamHead(attemptId));
      crash(() -> {});
      return false;
    }
    return request.line().contains(" /chat/")
        ? writeStreamResponse(attemptId, lastEventId, currentFault, socket)
        : writeTextResponse(attemptId, currentFault, socket);
  }

  private boolean makesCrash(RawServer.Request request) {
    String parts = ',' + request.header("X-Zinniaspan-Prefix-Hash").replace(" ", "");
    return crashingPart.map(part -> parts.contains(',' + part + ':')).orElse(false);
  }

  private void crash(Runnable beforeRestart) throws IOException {
    crashes.incrementAndGet();
    server.crash();
    restarts.schedule(
        () -> {
          beforeRestart.run();
          server.restart();
          return null;
        },
        downMs,
        TimeUnit.MILLISECONDS);
  }

  private boolean writeTextResponse(String attemptId, Fault currentFault, Socket socket)
      throws IOException {
    String body = responseText(attemptId);
    String response = responseHead("200 OK", attemptId, "Content-Length: " + body.length()) + body;
    switch (currentFault) {
      case CUT -> RawServer.write(socket, response.substring(0, response.length() - 1));
      case UNFRAMED ->
          RawServer.write(socket, responseHead("200 OK", attemptId, "Connection: close") + body);
      case EXTRA -> RawServer.write(socket, response + response);
      case ENDLESS -> writeForever(responseHead("200 OK", attemptId, "Connection: close"), socket);
      default -> RawServer.write(socket, response);
    }
    return currentFault == Fault.NONE || currentFault == Fault.EXTRA;
  }

  private boolean writeStreamResponse(
      String attemptId, int lastEventId, Fault currentFault, Socket socket) throws IOException {
    boolean chunked = currentFault != Fault.UNFRAMED;
    RawServer.write(socket, chunked ? streamHead(attemptId) : unframedStreamHead(attemptId));
    List<String> events = new ArrayList<>();
    for (int number = lastEventId + 1; number <= EVENT_COUNT; number++) {
      events.add(responseEvent(attemptId, number, software));
    }
    boolean whole =
        currentFault != Fault.CUT
            && currentFault != Fault.END_IN_EVENT
            && currentFault != Fault.ENDLESS;
    for (String event : events.subList(0, whole ? events.size() : events.size() / 2)) {
      pause();
      RawServer.write(socket, chunked ? chunk(event) : event);
    }
    switch (currentFault) {
      case CUT, UNFRAMED -> {
        return false;
      }
      case END_IN_EVENT -> RawServer.write(socket, chunk("id: " + EVENT_COUNT + "\nda"));
      case ENDLESS -> writeForever(Integer.toHexString(Integer.MAX_VALUE) + "\r\n", socket);
      default -> {
        // The stream is complete.
      }
    }
    RawServer.write(socket, "0\r\n\r\n");
    return true;
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Writes bytes after a text until the connection is closed. */
  private static void writeForever(String begin, Socket socket) throws IOException {
    RawServer.write(socket, begin);
    for (long written = 0; written < MAX_ENDLESS_BYTES; written += ENDLESS_PART.length()) {
      RawServer.write(socket, ENDLESS_PART);
    }
  }

  private String unframedStreamHead(String attemptId) {
    return responseHead(
        "200 OK", attemptId, "Content-Type: text/event-stream\r\nConnection: close");
  }

  private String streamHead(String attemptId) {
    return responseHead(
        "200 OK", attemptId, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked");
  }

  /** Returns the expected text response to a client attempt. */
  public static String responseText(String attemptId) {
    return "answer to " + attemptId;
  }

  /** Returns the expected complete stream of one software version for a client attempt. */
  public static String responseStream(String attemptId, String software) {
    StringBuilder events = new StringBuilder();
    for (int number = 1; number <= EVENT_COUNT; number++) {
      events.append(responseEvent(attemptId, number, software));
    }
    return events.toString();
  }

  /** Returns one event of the stream for a client attempt. */
  static String responseEvent(String attemptId, int number, String software) {
    return "id: " + number + "\ndata: " + attemptId + "-" + number + " " + software + "\n\n";
  }

  private String responseHead(String status, String attemptId, String fields) {
    return "HTTP/1.1 "
        + status
        + requestLimit.map(limit -> "\r\nServer-Limit: " + limit).orElse("")
        + room.map(limited -> "\r\nServer-Brittle: " + limited.rejectionsPerSecond()).orElse("")
        + "\r\nX-Zinniaspan-Attempt-Id: "
        + attemptId
        + "\r\nX-Zinniaspan-Server-Stamp: stamp-"
        + attemptId
        + "\r\n"
        + fields
        + "\r\n\r\n";
  }

  private void pause() {
    LockSupport.parkNanos(delayMs * NANOS_PER_MS);
  }

  @Override
  public void close() throws IOException {
    restarts.shutdownNow();
    server.close();
  }
}
