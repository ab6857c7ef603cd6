package org.zinniaspan.proxy;

/**
 * Settings of the forwarding path.
 *
 * @param maxConfirmationAgeMs longest age of the last confirmation of the configuration with which
 *     API keys are accepted, in milliseconds
 * @param retryRatio retry budget of all VMs together, in retries per request
 * @param graceMs time from the signal to stop until the platform kills the process, in milliseconds
 */
public record ForwardSettings(long maxConfirmationAgeMs, double retryRatio, long graceMs) {}
