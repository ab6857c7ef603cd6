package org.zinniaspan.forwarding;

import java.util.Optional;

/**
 * An organisation whose API keys are valid.
 *
 * @param name its name, which endpoints are told
 * @param priority its rank, which goes before a route's; 0 is the most urgent
 */
public record OrganisationSpec(String name, Optional<Integer> priority) {}
