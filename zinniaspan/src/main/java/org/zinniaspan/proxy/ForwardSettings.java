package org.zinniaspan.proxy;

/**
 * Settings of the forwarding path.
 *
 * @param maxConfirmationAgeMs longest time between a confirmation of the configuration and the use
 *     of an API key, in milliseconds
 * @param retryRatio retries per request that all VMs together may make
 * @param graceMs time between the signal to stop and the end of the process, in milliseconds
 */
public record ForwardSettings(long maxConfirmationAgeMs, double retryRatio, long graceMs) {}
