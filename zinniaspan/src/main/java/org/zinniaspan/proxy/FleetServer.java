package org.zinniaspan.proxy;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.zinniaspan.fleet.CatalogService;
import org.zinniaspan.fleet.EngineBoard;
import org.zinniaspan.fleet.FleetMembership;
import org.zinniaspan.fleet.SlotAssigner;
import org.zinniaspan.fleet.StreamOriginLookup;
import org.zinniaspan.fleet.StreamOriginSharing;
import org.zinniaspan.forwarding.InboundLimits;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.peer.proto.CatalogQuery;
import org.zinniaspan.peer.proto.EngineQuery;
import org.zinniaspan.peer.proto.FleetMembers;
import org.zinniaspan.peer.proto.SlotAssignmentQuery;
import org.zinniaspan.peer.proto.StreamOriginQuery;
import org.zinniaspan.peer.proto.StreamOriginUpdate;
import org.zinniaspan.transport.BufferBudget;
import org.zinniaspan.transport.InboundConnection;
import org.zinniaspan.transport.InboundHandler;

/**
 * Answers the requests of other VMs: members, catalog, engines and origins of streams, each with
 * protobuf bodies; and takes the requests of clients that they relay.
 */
final class FleetServer implements InboundHandler {

  /** Path of the exchange of members. */
  static final String MEMBERS_PATH = "/fleet/members";

  /** Path of catalog queries. */
  static final String CATALOG_PATH = "/fleet/catalog";

  /** Path of queries for the load of engines. */
  static final String ENGINES_PATH = "/fleet/engines";

  /** Path of updates of the origins of streams. */
  static final String ORIGIN_UPDATES_PATH = "/fleet/stream-origins";

  /** Path of queries for the origin of a stream. */
  static final String ORIGIN_QUERIES_PATH = "/fleet/stream-origin";

  /** Path of queries for the slots of endpoints. */
  static final String SLOTS_PATH = "/fleet/slots";

  /** Largest size of the headers that a VM adds to a request that it relays, in bytes. */
  private static final int RELAY_HEADER_BYTES = 1_024;

  /**
   * Time after which an idle connection is closed, in milliseconds; longer than VMs pause between
   * two queries.
   */
  private static final long IDLE_TIMEOUT_MS = 60_000;

  private final BufferBudget messages;
  private final FleetMembership members;
  private final CatalogService catalog;
  private final EngineBoard engines;
  private final StreamOriginSharing originSharing;
  private final StreamOriginLookup originLookup;
  private final SlotAssigner slots;
  private final RelayReceiver relays;

  /**
   * Creates a server.
   *
   * @param maxMessageBytes largest sum of the messages that are being read, in bytes
   */
  FleetServer(
      FleetMembership members,
      CatalogService catalog,
      EngineBoard engines,
      StreamOriginSharing originSharing,
      StreamOriginLookup originLookup,
      SlotAssigner slots,
      RelayReceiver relays,
      long maxMessageBytes) {
    this.messages = new BufferBudget(maxMessageBytes);
    this.members = members;
    this.catalog = catalog;
    this.engines = engines;
    this.originSharing = originSharing;
    this.originLookup = originLookup;
    this.slots = slots;
    this.relays = relays;
  }

  @Override
  public InboundLimits limits() {
    InboundLimits clients = relays.limits();
    return new InboundLimits(
        Math.max(InboundLimits.DEFAULT.maxHeaderBytes(), clients.maxHeaderBytes())
            + RELAY_HEADER_BYTES,
        Math.max(InboundLimits.DEFAULT.maxBodyBytes(), clients.maxBodyBytes()),
        InboundLimits.DEFAULT.headerTimeoutMs(),
        IDLE_TIMEOUT_MS);
  }

  @Override
  public BufferBudget bodyBudget(HttpRequest head) {
    return isRelayed(head) ? relays.bodyBudget(head) : messages;
  }

  @Override
  public void onBudgetExhausted(InboundConnection connection, HttpRequest head) {
    if (isRelayed(head)) {
      relays.onRelayBudgetExhausted(connection, head);
    } else {
      respond(connection, HttpStatus.SC_SERVICE_UNAVAILABLE, new byte[0]);
    }
  }

  private static boolean isRelayed(HttpRequest head) {
    return head.containsHeader(RelayHeaders.RELAYED_BY);
  }

  @Override
  public void onOpen(InboundConnection connection) {
    // No state is kept for a connection.
  }

  @Override
  public void onRequest(InboundConnection connection, HttpRequest head, byte[] body) {
    if (isRelayed(head)) {
      relays.onRelayedRequest(connection, head, body);
      return;
    }
    try {
      switch (String.valueOf(head.getPath())) {
        case MEMBERS_PATH ->
            respond(
                connection, members.onExchange(PeerAddresses.valid(FleetMembers.parseFrom(body))));
        case CATALOG_PATH ->
            catalog.onQuery(CatalogQuery.parseFrom(body), state -> respond(connection, state));
        case ENGINES_PATH ->
            engines.onQuery(EngineQuery.parseFrom(body), state -> respond(connection, state));
        case ORIGIN_UPDATES_PATH ->
            respond(connection, originSharing.onUpdate(StreamOriginUpdate.parseFrom(body)));
        case ORIGIN_QUERIES_PATH ->
            originLookup.onQuery(
                StreamOriginQuery.parseFrom(body), reply -> respond(connection, reply));
        case SLOTS_PATH ->
            slots.onQuery(SlotAssignmentQuery.parseFrom(body), reply -> respond(connection, reply));
        default -> respond(connection, HttpStatus.SC_NOT_FOUND, new byte[0]);
      }
    } catch (InvalidProtocolBufferException e) {
      EventLog.event("peer-request-unreadable")
          .with("path", head.getPath())
          .with("error", e)
          .info();
      respond(connection, HttpStatus.SC_BAD_REQUEST, new byte[0]);
    }
  }

  private static void respond(InboundConnection connection, MessageLite message) {
    respond(connection, HttpStatus.SC_OK, message.toByteArray());
  }

  private static void respond(InboundConnection connection, int status, byte[] content) {
    if (connection.isOpen()) {
      connection.sendResponse(new BasicHttpResponse(status), content);
    }
  }

  @Override
  public void onUnreadable(InboundConnection connection, int status, String reason) {
    respond(connection, status, new byte[0]);
  }

  @Override
  public void onDisconnect(InboundConnection connection) {
    // A held query is answered later, and its answer is dropped.
    relays.onDisconnect(connection);
  }
}
