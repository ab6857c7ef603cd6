package org.zinniaspan.inventory;

/**
 * A model that engines can serve.
 *
 * @param name name by which callers ask for it
 * @param memoryMb accelerator memory it takes, in megabytes
 */
public record Model(String name, int memoryMb) {}
