package org.zinniaspan.forwarding;

/**
 * What is known of the engines of a service.
 *
 * @param slots requests that one engine processes at the same time
 * @param kvTokens tokens that fit into an engine's memory
 */
public record EngineCapacity(int slots, long kvTokens) {}
