package org.zinniaspan.forwarding;

import java.util.Optional;

/**
 * An organisation as the configuration describes it; its API keys are valid.
 *
 * @param name its name, which is sent to endpoints
 * @param priority its priority rank, which takes precedence over a route's; 0 is the most urgent
 * @param homeRegions regions in which its requests may be processed
 */
public record OrganisationSpec(String name, Optional<Integer> priority, HomeRegions homeRegions) {}
