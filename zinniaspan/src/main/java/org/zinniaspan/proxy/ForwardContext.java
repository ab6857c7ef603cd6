package org.zinniaspan.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.AdmissionControl;
import org.zinniaspan.forwarding.CatalogFollower;
import org.zinniaspan.forwarding.EndpointDirectory;
import org.zinniaspan.forwarding.EndpointSelector;
import org.zinniaspan.forwarding.ServiceRetryBudget;
import org.zinniaspan.forwarding.TableFreshness;

/**
 * What the requests of one VM share.
 *
 * @param clock source of time
 * @param random source of chance
 * @param dialect translates heads
 * @param follower the configuration in force
 * @param tableFreshness whether API keys may be accepted
 * @param directory the endpoints
 * @param selector chooses endpoints
 * @param admission refuses what would be answered too late
 * @param connections connections to endpoints
 * @param retryBudgets retries by service
 * @param metrics counters and histograms
 * @param settings settings
 */
record ForwardContext(
    Clock clock,
    Random random,
    Dialect dialect,
    CatalogFollower follower,
    TableFreshness tableFreshness,
    EndpointDirectory directory,
    EndpointSelector selector,
    AdmissionControl admission,
    EndpointConnectionPool connections,
    Map<String, ServiceRetryBudget> retryBudgets,
    ForwardMetrics metrics,
    ForwardSettings settings) {

  ForwardContext(
      Clock clock,
      Random random,
      Dialect dialect,
      CatalogFollower follower,
      TableFreshness tableFreshness,
      EndpointDirectory directory,
      EndpointSelector selector,
      AdmissionControl admission,
      EndpointConnectionPool connections,
      ForwardSettings settings) {
    this(
        clock,
        random,
        dialect,
        follower,
        tableFreshness,
        directory,
        selector,
        admission,
        connections,
        new HashMap<>(),
        new ForwardMetrics(),
        settings);
  }

  ServiceRetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service, s -> new ServiceRetryBudget(settings.retryRatio()));
  }
}
