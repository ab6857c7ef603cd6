package org.zinniaspan.configuration;

import java.util.concurrent.Executor;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.membership.Membership;
import org.zinniaspan.peer.PeerLink;

/**
 * What a {@link ConfigurationFeed} works with.
 *
 * @param store holds the documents in force
 * @param platform asks the platform
 * @param membership VMs of the own availability zone
 * @param zone own availability zone
 * @param link sends to other VMs
 * @param adoptionExecutor checks and adopts documents, which may take long
 * @param settings times and seed
 * @param clock source of time
 */
public record FeedDependencies(
    ConfigurationStore store,
    PlatformClient platform,
    Membership membership,
    String zone,
    PeerLink link,
    Executor adoptionExecutor,
    FeedSettings settings,
    Clock clock) {

  /** Returns a feed of these parts. */
  public ConfigurationFeed createFeed() {
    return new ConfigurationFeed(this);
  }
}
