package org.zinniaspan.configuration;

import java.util.concurrent.Executor;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.membership.Membership;
import org.zinniaspan.peer.PeerLink;

/**
 * The dependencies of a {@link ConfigurationFeed}.
 *
 * @param store store of the documents in force
 * @param platform client of the platform
 * @param membership VMs of this VM's availability zone
 * @param zone name of that availability zone
 * @param link link for messages to other VMs
 * @param adoptionExecutor executor for validating and adopting documents, which may take long
 * @param settings intervals, delays and random seed
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

  /** Creates a feed with these dependencies. */
  public ConfigurationFeed createFeed() {
    return new ConfigurationFeed(this);
  }
}
