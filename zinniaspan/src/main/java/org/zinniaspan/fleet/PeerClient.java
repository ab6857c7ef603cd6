package org.zinniaspan.fleet;

import java.util.Optional;
import java.util.function.Consumer;
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

/**
 * Sends requests to other VMs, by their peer address as host:port.
 *
 * <p>Each callback is invoked exactly once: with the reply, or with an empty value if there was
 * none within the timeout, in milliseconds.
 */
public interface PeerClient {

  /** Tells a VM which VMs this one knows, and receives those that the other knows. */
  void exchangeMembers(
      String address,
      FleetMembers members,
      long timeoutMs,
      Consumer<Optional<FleetMembers>> callback);

  /** Asks for the configuration version and endpoints; the reply may be held until a change. */
  void queryCatalog(
      String address,
      CatalogQuery query,
      long timeoutMs,
      Consumer<Optional<CatalogState>> callback);

  /** Asks for observations of engines; the reply may be held until there are new ones. */
  void queryEngines(
      String address, EngineQuery query, long timeoutMs, Consumer<Optional<EngineState>> callback);

  /** Sends origins of streams to a VM that keeps a copy of them. */
  void updateOrigins(
      String address,
      StreamOriginUpdate update,
      long timeoutMs,
      Consumer<Optional<StreamOriginReceipt>> callback);

  /** Requests the origin of a stream. */
  void queryOrigin(
      String address,
      StreamOriginQuery query,
      long timeoutMs,
      Consumer<Optional<StreamOriginReply>> callback);

  /** States which slots of endpoints this VM holds, and asks for more. */
  void querySlots(
      String address,
      SlotAssignmentQuery query,
      long timeoutMs,
      Consumer<Optional<SlotAssignment>> callback);
}
