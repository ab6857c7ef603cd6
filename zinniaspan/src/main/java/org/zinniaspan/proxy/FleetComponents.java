package org.zinniaspan.proxy;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.fleet.CatalogService;
import org.zinniaspan.fleet.CatalogSharing;
import org.zinniaspan.fleet.EndpointObservations;
import org.zinniaspan.fleet.EngineBoard;
import org.zinniaspan.fleet.EngineSharing;
import org.zinniaspan.fleet.FleetMembership;
import org.zinniaspan.fleet.SlotSharing;
import org.zinniaspan.fleet.StreamOriginComponents;
import org.zinniaspan.forwarding.CatalogFollower;
import org.zinniaspan.forwarding.ColdEndpoints;
import org.zinniaspan.forwarding.ColdSpec;
import org.zinniaspan.forwarding.EndpointDirectory;
import org.zinniaspan.forwarding.EndpointPace;
import org.zinniaspan.forwarding.PermitShare;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.forwarding.ServiceSpec;
import org.zinniaspan.forwarding.SharedPressure;
import org.zinniaspan.forwarding.StreamWork;
import org.zinniaspan.forwarding.TableFreshness;
import org.zinniaspan.transport.BufferingHttpClient;

/** The components through which a daemon and the other VMs tell each other what they know. */
final class FleetComponents implements Ticking {

  private final HttpPeerClient peers;
  private final FleetMembership members;
  private final CatalogSharing catalogSharing;
  private final CatalogService catalogService;
  private final EngineSharing engineSharing;
  private final SharedPressure pressure;
  private final EngineBoard engineBoard;
  private final EndpointObservations endpoints;
  private final SlotSharing slots;
  private final ColdEndpoints cold;
  private final StreamOriginComponents origins;

  /**
   * Creates the components of a VM that knows no other VM.
   *
   * @param address peer address of this VM, as host:port
   * @param zone its availability zone
   * @param zones all availability zones
   * @param seeds peer addresses of a few VMs
   * @param httpClientFactory creates the HTTP client for an address
   * @param slotMs returns the mean time for which a request occupies a slot of an endpoint, in
   *     milliseconds, by the service's name
   */
  FleetComponents(
      String address,
      String zone,
      Set<String> zones,
      List<String> seeds,
      Function<String, BufferingHttpClient> httpClientFactory,
      CatalogFollower follower,
      TableFreshness freshness,
      EndpointDirectory directory,
      StreamWork work,
      ToDoubleFunction<String> slotMs,
      PlatformBounds bounds,
      ForwardDaemon.Features features,
      Clock clock,
      Random random) {
    long epoch = random.nextLong();
    peers = new HttpPeerClient(httpClientFactory);
    members = new FleetMembership(address, zone, seeds, peers, clock, random);
    catalogService = new CatalogService(follower, freshness, directory, clock, epoch);
    catalogSharing = new CatalogSharing(follower, freshness, bounds, members, peers, clock);
    EndpointObservations observations =
        EndpointObservations.create(members, zones, clock, System::currentTimeMillis, slotMs);
    slots =
        SlotSharing.create(
            members,
            directory,
            observations.limits().rejections(),
            peers,
            clock,
            System::currentTimeMillis,
            slotMs,
            random);
    Function<String, Optional<ColdSpec>> coldSpecs =
        service -> follower.table().flatMap(t -> t.service(service)).flatMap(ServiceSpec::cold);
    Supplier<PermitShare> share = EndpointObservations.coldShare(members, zones, clock);
    cold =
        new ColdEndpoints(
            clock, System::currentTimeMillis, directory, coldSpecs, bounds.cold(), share);
    EndpointPace pace =
        new EndpointPace(clock, System::currentTimeMillis, directory, coldSpecs, slotMs, share);
    endpoints =
        observations
            .withSlots(slots)
            .withOtherLimits(features.endpointPace() ? List.of(cold, pace) : List.of(cold));
    pressure = new SharedPressure(clock, members::liveCount);
    engineBoard = new EngineBoard(directory, work, pressure, endpoints.exchange(), clock, epoch);
    engineSharing = new EngineSharing(directory, engineBoard, members, peers, clock);
    origins = StreamOriginComponents.create(members, directory, follower, peers, clock);
  }

  /** Creates the server for other VMs, with the largest sum of the messages that it reads. */
  FleetServer server(RelayReceiver relays, long maxMessageBytes) {
    return new FleetServer(
        members,
        catalogService,
        engineBoard,
        origins.sharing(),
        origins.lookup(),
        slots.assigner(),
        relays,
        maxMessageBytes);
  }

  /** Returns the origins of streams. */
  StreamOriginComponents origins() {
    return origins;
  }

  /** Returns what the VMs tell each other of endpoints besides load reports. */
  EndpointObservations endpoints() {
    return endpoints;
  }

  /** Returns the requests of all VMs to engines. */
  SharedPressure pressure() {
    return pressure;
  }

  /** Returns the slots that VMs assign each other. */
  SlotSharing slots() {
    return slots;
  }

  FleetMembership members() {
    return members;
  }

  EngineBoard engineBoard() {
    return engineBoard;
  }

  /** Returns the rank of this VM among those that poll the engines of a zone. */
  int observerRank(String zone) {
    return engineSharing.observerRank(zone);
  }

  /** Registers gauges of the number of VMs, the roles of this VM and the bytes that it sent. */
  void registerGauges(ForwardMetrics metrics) {
    metrics.registerGauge(
        "zinniaspan_fleet_vms", "Live VMs that are known, this one included.", members::liveCount);
    metrics.registerGauge(
        "zinniaspan_platform_reader",
        "1 if this VM reads the platform itself.",
        () -> catalogSharing.isReading() ? 1 : 0);
    metrics.registerGauge(
        "zinniaspan_engine_observer",
        "1 if this VM polls engines for others.",
        () -> engineSharing.isObserver() ? 1 : 0);
    metrics.registerGauge(
        "zinniaspan_slot_assigner",
        "Services for whose endpoints this VM assigns slots.",
        slots.assigner()::size);
    metrics.registerGauge(
        "zinniaspan_fleet_sent_bytes",
        "Bytes of the queries sent to other VMs since the start.",
        peers::sentBytes);
    metrics.registerGauge(
        "zinniaspan_cold_endpoint_sends",
        "Requests sent to cold endpoints since the start.",
        cold::sentCount);
    metrics.registerGauge(
        "zinniaspan_cold_endpoint_holds",
        "Times that a cold endpoint was left out of a choice, as this VM had no permit.",
        cold::heldBackCount);
    metrics.registerGauge(
        "zinniaspan_stream_origins",
        "Streams whose software version is known, of this VM and copied from others.",
        origins.sharing()::size);
  }

  /** Gives up the roles of this VM, as it is stopping. */
  void leave() {
    members.leave();
    catalogService.stop();
    engineBoard.stop();
  }

  @Override
  public void tick() {
    peers.tick();
    members.tick();
    catalogSharing.tick();
    catalogService.tick();
    engineSharing.tick();
    engineBoard.tick();
    slots.tick();
    origins.sharing().tick();
  }
}
