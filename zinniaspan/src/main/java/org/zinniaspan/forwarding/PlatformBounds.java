package org.zinniaspan.forwarding;

import java.text.DecimalFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.zinniaspan.inventory.Finding;

/**
 * The time bounds and budgets that the platform sets for its routers, and the times derived from
 * them.
 *
 * <p>Example: {@code PlatformBounds.parse(Map.of("--config-ms", "4000")).bounds()}. All times are
 * in milliseconds.
 *
 * @param configMs time within which a new configuration is in force
 * @param revokeMs time within which a revoked API key is refused
 * @param drainMs time within which a draining endpoint receives no more requests
 * @param heartbeatMs interval at which endpoints renew their entries in the platform's list
 * @param graceMs time from the signal to stop until the platform kills the process
 * @param retryRatio retry budget of all VMs together, in retries per request
 * @param retrySlack retries of all VMs together that are allowed in each window besides the ratio
 * @param retryWindowMs length of the window over which retries are counted
 * @param cold how far the requests to a cold endpoint may exceed its rate
 */
public record PlatformBounds(
    long configMs,
    long revokeMs,
    long drainMs,
    long heartbeatMs,
    long graceMs,
    double retryRatio,
    long retrySlack,
    long retryWindowMs,
    ColdAllowance cold) {

  /** Bounds that apply where the platform states none. */
  public static final PlatformBounds DEFAULT =
      new PlatformBounds(2_500, 5_000, 2_500, 1_200, 8_000, 0.2, 54, 10_000);

  /** Creates bounds with which cold endpoints get no more than their rate. */
  public PlatformBounds(
      long configMs,
      long revokeMs,
      long drainMs,
      long heartbeatMs,
      long graceMs,
      double retryRatio,
      long retrySlack,
      long retryWindowMs) {
    this(
        configMs,
        revokeMs,
        drainMs,
        heartbeatMs,
        graceMs,
        retryRatio,
        retrySlack,
        retryWindowMs,
        ColdAllowance.STRICT);
  }

  /** Timeout of requests to the platform, in milliseconds. */
  public static final long PLATFORM_TIMEOUT_MS = 800;

  /**
   * Time that one failed read of the platform and its repetition take: the timeout, the longest
   * retry delay and the second read, in milliseconds.
   */
  private static final long FAILED_READ_MS = PLATFORM_TIMEOUT_MS + 300;

  /** Shortest interval between confirming reads, in milliseconds. */
  private static final long MIN_CONFIRM_INTERVAL_MS = 500;

  /**
   * Margin between the last use of an unconfirmed API key and its revocation deadline, in
   * milliseconds.
   */
  private static final long REVOCATION_MARGIN_MS = 400;

  /** Margin of a watch's wait, besides a failed read, before the drain bound, in milliseconds. */
  private static final long WATCH_MARGIN_MS = 200;

  /** Margin between a read and the end of the shortest outage, in milliseconds. */
  private static final long OUTAGE_MARGIN_MS = 400;

  private static final double MS_PER_SECOND = 1_000;

  /**
   * Bounds read from settings.
   *
   * @param bounds the bounds, with the default of each setting that is missing or invalid
   * @param findings the missing and invalid settings
   */
  public record Parsed(PlatformBounds bounds, List<Finding> findings) {}

  /**
   * Reads the bounds from settings by flag, such as {@code --config-ms}; a missing or invalid
   * setting is a finding, and its default is used.
   */
  public static Parsed parse(Map<String, String> settings) {
    Reader reader = new Reader(settings);
    PlatformBounds bounds =
        new PlatformBounds(
            reader.wholeNumber("--config-ms", DEFAULT.configMs, 1_000),
            reader.wholeNumber("--revoke-ms", DEFAULT.revokeMs, 1_000),
            reader.wholeNumber("--drain-ms", DEFAULT.drainMs, 1_000),
            reader.wholeNumber("--heartbeat-ms", DEFAULT.heartbeatMs, 100),
            Math.round(
                reader.number("--grace-s", DEFAULT.graceMs / MS_PER_SECOND, 1, 86_400)
                    * MS_PER_SECOND),
            reader.number("--retry-ratio", DEFAULT.retryRatio, 0, 1),
            reader.wholeNumber("--retry-slack", DEFAULT.retrySlack, 0),
            Math.round(
                reader.number("--retry-window-s", DEFAULT.retryWindowMs / MS_PER_SECOND, 1, 3_600)
                    * MS_PER_SECOND),
            new ColdAllowance(
                reader.optionalNumber("--cold-overrun", ColdAllowance.STRICT.overrun(), 1, 1_000),
                reader.optionalNumber("--cold-slack", ColdAllowance.STRICT.slack(), 0, 1e6)));
    return new Parsed(bounds, List.copyOf(reader.findings));
  }

  /**
   * Returns the longest interval between two reads that confirm the configuration.
   *
   * <p>A version that was published just after a read has to be in force within {@code configMs}
   * although one read fails; the same holds for the age up to which API keys are accepted. An
   * outage in which entries may expire must not fit between two reads.
   */
  public long confirmIntervalMs() {
    long shortest = Math.min(configMs, maxConfirmationAgeMs()) - FAILED_READ_MS;
    long noticing = outageThresholdMs() - OUTAGE_MARGIN_MS;
    return Math.max(MIN_CONFIRM_INTERVAL_MS, Math.min(shortest, noticing));
  }

  /** Returns the largest age of a confirmation with which API keys are accepted. */
  public long maxConfirmationAgeMs() {
    return Math.max(revokeMs / 2, revokeMs - REVOCATION_MARGIN_MS);
  }

  /**
   * Returns the longest wait of a watch.
   *
   * <p>A watch that has broken silently is noticed when its wait and the timeout have passed; the
   * list that is then read has to be there within {@code drainMs}.
   */
  public long watchWaitMs() {
    return Math.max(MIN_CONFIRM_INTERVAL_MS, drainMs - FAILED_READ_MS - WATCH_MARGIN_MS);
  }

  /**
   * Returns the time without an answered read after which entries of live endpoints may have
   * expired: half of the three heartbeats after which the platform removes an entry.
   */
  public long outageThresholdMs() {
    return heartbeatMs * 3 / 2;
  }

  private static final class Reader {

    private final Map<String, String> settings;
    private final List<Finding> findings = new ArrayList<>();

    Reader(Map<String, String> settings) {
      this.settings = settings;
    }

    long wholeNumber(String flag, long defaultValue, long min) {
      Optional<Double> value = read(flag, defaultValue, min, Integer.MAX_VALUE);
      if (value.isPresent() && value.get() != Math.rint(value.get())) {
        report(flag, "'" + settings.get(flag) + "' is not a whole number", defaultValue);
        return defaultValue;
      }
      return value.map(Double::longValue).orElse(defaultValue);
    }

    double number(String flag, double defaultValue, double min, double max) {
      return read(flag, defaultValue, min, max).orElse(defaultValue);
    }

    /** Returns a setting that some platforms do not have; its absence is no finding. */
    double optionalNumber(String flag, double defaultValue, double min, double max) {
      return settings.getOrDefault(flag, "").isBlank()
          ? defaultValue
          : number(flag, defaultValue, min, max);
    }

    private Optional<Double> read(String flag, double defaultValue, double min, double max) {
      String text = settings.getOrDefault(flag, "").trim();
      if (text.isEmpty()) {
        report(flag, "is missing", defaultValue);
        return Optional.empty();
      }
      try {
        double value = Double.parseDouble(text);
        if (value >= min && value <= max) {
          return Optional.of(value);
        }
      } catch (NumberFormatException e) {
        // Reported below, like a number outside the range.
      }
      report(flag, "'" + text + "' is not a number from " + min + " to " + max, defaultValue);
      return Optional.empty();
    }

    private void report(String flag, String message, double defaultValue) {
      String used = new DecimalFormat("0.###").format(defaultValue);
      findings.add(new Finding("settings", flag, message + "; using " + used));
    }
  }
}
