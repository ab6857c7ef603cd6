package org.zinniaspan.forwarding;

/**
 * Capacity of each engine of a model service, as the configuration states it.
 *
 * @param slots requests that one engine processes concurrently
 * @param kvTokens tokens that fit into an engine's KV cache
 */
public record EngineCapacity(int slots, long kvTokens) {}
