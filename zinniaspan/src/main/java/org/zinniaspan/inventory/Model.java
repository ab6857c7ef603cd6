package org.zinniaspan.inventory;

/**
 * A model that engines can serve.
 *
 * @param name unique name, used in requests
 * @param memoryMb accelerator memory that the model needs, in megabytes
 */
public record Model(String name, int memoryMb) {}
