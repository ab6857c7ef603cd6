package org.zinniaspan.fleet;

import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.CatalogFollower;
import org.zinniaspan.forwarding.EndpointDirectory;

/**
 * The sharing and the lookup of the origins of streams, over one set of known origins.
 *
 * @param sharing records and copies the origins of this VM's streams
 * @param lookup finds the origin of a stream
 */
public record StreamOriginComponents(StreamOriginSharing sharing, StreamOriginLookup lookup) {

  /** Creates components that know no stream. */
  public static StreamOriginComponents create(
      FleetMembership members,
      EndpointDirectory directory,
      CatalogFollower follower,
      PeerClient peers,
      Clock clock) {
    StreamOrigins origins = new StreamOrigins(clock);
    StreamOriginHolders holders = new StreamOriginHolders(members, clock);
    StreamOriginLookup lookup =
        new StreamOriginLookup(origins, holders, directory, follower, peers, clock);
    StreamOriginSharing sharing =
        new StreamOriginSharing(members.self(), origins, holders, directory, lookup, peers, clock);
    return new StreamOriginComponents(sharing, lookup);
  }
}
