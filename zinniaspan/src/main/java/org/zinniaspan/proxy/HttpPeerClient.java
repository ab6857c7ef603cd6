package org.zinniaspan.proxy;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.fleet.PeerClient;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.peer.proto.CatalogQuery;
import org.zinniaspan.peer.proto.CatalogState;
import org.zinniaspan.peer.proto.EngineQuery;
import org.zinniaspan.peer.proto.EngineState;
import org.zinniaspan.peer.proto.FleetMembers;
import org.zinniaspan.peer.proto.SlotAssignment;
import org.zinniaspan.peer.proto.SlotAssignmentQuery;
import org.zinniaspan.peer.proto.StreamOriginQuery;
import org.zinniaspan.peer.proto.StreamOriginReceipt;
import org.zinniaspan.peer.proto.StreamOriginReply;
import org.zinniaspan.peer.proto.StreamOriginUpdate;
import org.zinniaspan.transport.BufferingHttpClient;
import org.zinniaspan.transport.ResponseBody;

/** Sends requests to other VMs as HTTP requests with protobuf bodies. */
final class HttpPeerClient implements PeerClient, Ticking {

  private final Function<String, BufferingHttpClient> httpClientFactory;
  private final Map<String, BufferingHttpClient> clientsByAddress = new HashMap<>();
  private long sentBytes;

  /**
   * Creates a client without connections.
   *
   * @param httpClientFactory creates the HTTP client for an address
   */
  HttpPeerClient(Function<String, BufferingHttpClient> httpClientFactory) {
    this.httpClientFactory = httpClientFactory;
  }

  /** Returns the bytes of the messages sent so far, without their heads. */
  long sentBytes() {
    return sentBytes;
  }

  @Override
  public void exchangeMembers(
      String address,
      FleetMembers members,
      long timeoutMs,
      Consumer<Optional<FleetMembers>> callback) {
    HttpRequest request = new BasicHttpRequest("POST", FleetServer.MEMBERS_PATH);
    // Partners are random, so connections to them are not kept.
    request.setHeader(HttpHeaders.CONNECTION, "close");
    call(
        address,
        request,
        members,
        FleetMembers.parser(),
        timeoutMs,
        reply -> callback.accept(reply.map(PeerAddresses::valid)));
  }

  @Override
  public void queryCatalog(
      String address,
      CatalogQuery query,
      long timeoutMs,
      Consumer<Optional<CatalogState>> callback) {
    HttpRequest request = new BasicHttpRequest("POST", FleetServer.CATALOG_PATH);
    call(address, request, query, CatalogState.parser(), timeoutMs, callback);
  }

  @Override
  public void queryEngines(
      String address, EngineQuery query, long timeoutMs, Consumer<Optional<EngineState>> callback) {
    HttpRequest request = new BasicHttpRequest("POST", FleetServer.ENGINES_PATH);
    call(address, request, query, EngineState.parser(), timeoutMs, callback);
  }

  @Override
  public void updateOrigins(
      String address,
      StreamOriginUpdate update,
      long timeoutMs,
      Consumer<Optional<StreamOriginReceipt>> callback) {
    HttpRequest request = new BasicHttpRequest("POST", FleetServer.ORIGIN_UPDATES_PATH);
    call(address, request, update, StreamOriginReceipt.parser(), timeoutMs, callback);
  }

  @Override
  public void queryOrigin(
      String address,
      StreamOriginQuery query,
      long timeoutMs,
      Consumer<Optional<StreamOriginReply>> callback) {
    HttpRequest request = new BasicHttpRequest("POST", FleetServer.ORIGIN_QUERIES_PATH);
    call(address, request, query, StreamOriginReply.parser(), timeoutMs, callback);
  }

  @Override
  public void querySlots(
      String address,
      SlotAssignmentQuery query,
      long timeoutMs,
      Consumer<Optional<SlotAssignment>> callback) {
    HttpRequest request = new BasicHttpRequest("POST", FleetServer.SLOTS_PATH);
    call(address, request, query, SlotAssignment.parser(), timeoutMs, callback);
  }

  @Override
  public void tick() {
    clientsByAddress.values().forEach(BufferingHttpClient::tick);
  }

  private <T> void call(
      String address,
      HttpRequest request,
      MessageLite message,
      Parser<T> replyParser,
      long timeoutMs,
      Consumer<Optional<T>> callback) {
    byte[] body = message.toByteArray();
    sentBytes += body.length;
    request.setHeader(HttpHeaders.HOST, address);
    request.setHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length));
    clientsByAddress
        .computeIfAbsent(address, httpClientFactory)
        .call(request, body, timeoutMs, result -> callback.accept(parse(result, replyParser)));
  }

  private static <T> Optional<T> parse(BufferingHttpClient.Result result, Parser<T> parser) {
    if (!(result instanceof BufferingHttpClient.Result.Answered answered)
        || answered.status() != HttpStatus.SC_OK
        // A VM states the end of each reply, and a part of a message may parse as a whole.
        || !ResponseBody.statesEnd(answered.head())) {
      return Optional.empty();
    }
    try {
      return Optional.of(parser.parseFrom(answered.body()));
    } catch (InvalidProtocolBufferException e) {
      EventLog.event("peer-reply-unreadable").with("error", e).info();
      return Optional.empty();
    }
  }
}
