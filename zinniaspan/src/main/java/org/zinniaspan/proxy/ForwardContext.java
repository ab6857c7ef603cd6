package org.zinniaspan.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.fleet.RelayTargets;
import org.zinniaspan.fleet.StreamOriginComponents;
import org.zinniaspan.forwarding.AdmissionControl;
import org.zinniaspan.forwarding.CatalogFollower;
import org.zinniaspan.forwarding.EndpointBackoff;
import org.zinniaspan.forwarding.EndpointDirectory;
import org.zinniaspan.forwarding.EndpointEligibility;
import org.zinniaspan.forwarding.EndpointReachability;
import org.zinniaspan.forwarding.EndpointSelector;
import org.zinniaspan.forwarding.EngineSpeeds;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.forwarding.PromptQuarantine;
import org.zinniaspan.forwarding.SendLimits;
import org.zinniaspan.forwarding.ServiceRetryBudget;
import org.zinniaspan.forwarding.TableFreshness;
import org.zinniaspan.forwarding.VmLimits;

/**
 * The collaborators and settings that all requests of one VM share.
 *
 * @param clock steady clock in milliseconds
 * @param random source of random numbers
 * @param dialect translates the heads of messages
 * @param follower holds the routing table in force
 * @param tableFreshness decides whether API keys may be accepted
 * @param directory the listed endpoints
 * @param speeds measured speed of the endpoints of each service
 * @param selector selects an endpoint for each send
 * @param admission refuses requests whose response would come too late
 * @param origins the software versions that began streams
 * @param backoff the endpoints that take no requests of this VM for a while
 * @param limits the limits that endpoints state on what all VMs send together
 * @param reachability whether this VM has a path to the endpoints
 * @param quarantine the prompts that are not sent, as such prompts crashed endpoints
 * @param crashWitness finds out whether endpoints crashed
 * @param eligibility the endpoints that may receive a request by their place
 * @param relayTargets the VMs through which requests are relayed without such a path
 * @param connections connection pool for endpoints and other VMs
 * @param retryBudgets retry budget of each service, by the service's name
 * @param metrics counters and histograms
 * @param bounds time bounds and budgets of the platform
 * @param vmLimits what this VM can take on
 * @param bodies limits on the messages in memory
 */
record ForwardContext(
    Clock clock,
    Random random,
    Dialect dialect,
    CatalogFollower follower,
    TableFreshness tableFreshness,
    EndpointDirectory directory,
    EngineSpeeds speeds,
    EndpointSelector selector,
    AdmissionControl admission,
    StreamOriginComponents origins,
    EndpointBackoff backoff,
    SendLimits limits,
    EndpointReachability reachability,
    PromptQuarantine quarantine,
    CrashWitness crashWitness,
    EndpointEligibility eligibility,
    RelayTargets relayTargets,
    EndpointConnectionPool connections,
    Map<String, ServiceRetryBudget> retryBudgets,
    ForwardMetrics metrics,
    PlatformBounds bounds,
    VmLimits vmLimits,
    BodyBudgets bodies) {

  ForwardContext(
      Clock clock,
      Random random,
      Dialect dialect,
      CatalogFollower follower,
      TableFreshness tableFreshness,
      EndpointDirectory directory,
      EngineSpeeds speeds,
      EndpointSelector selector,
      AdmissionControl admission,
      StreamOriginComponents origins,
      EndpointBackoff backoff,
      SendLimits limits,
      EndpointReachability reachability,
      PromptQuarantine quarantine,
      EndpointEligibility eligibility,
      RelayTargets relayTargets,
      EndpointConnectionPool connections,
      PlatformBounds bounds,
      VmLimits vmLimits,
      BodyBudgets bodies) {
    this(
        clock,
        random,
        dialect,
        follower,
        tableFreshness,
        directory,
        speeds,
        selector,
        admission,
        origins,
        backoff,
        limits,
        reachability,
        quarantine,
        new CrashWitness(clock, quarantine, reachability, connections),
        eligibility,
        relayTargets,
        connections,
        new HashMap<>(),
        new ForwardMetrics(),
        bounds,
        vmLimits,
        bodies);
  }

  /** Returns the retry budget of a service; creates it on first use. */
  ServiceRetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service, s -> new ServiceRetryBudget(clock, bounds, () -> 1));
  }
}
