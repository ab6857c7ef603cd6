package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlatformBoundsTest {

  /** Longest time of a read that fails and of the one that repeats it, in milliseconds. */
  private static final long FAILED_READ_MS = PlatformBounds.PLATFORM_TIMEOUT_MS + 240;

  private static final Map<String, String> SMALL =
      Map.of(
          "--config-ms", "2500",
          "--revoke-ms", "5000",
          "--drain-ms", "2500",
          "--heartbeat-ms", "1200",
          "--grace-s", "8",
          "--retry-ratio", "0.2",
          "--retry-slack", "54",
          "--retry-window-s", "10");

  private static Map<String, String> with(String flag, String value) {
    Map<String, String> settings = new HashMap<>(SMALL);
    settings.put(flag, value);
    return settings;
  }

  private static PlatformBounds bounds(String flag, String value) {
    return PlatformBounds.parse(with(flag, value)).bounds();
  }

  @Test
  void areReadFromSettings() {
    PlatformBounds.Parsed parsed = PlatformBounds.parse(SMALL);
    assertThat(parsed.findings()).isEmpty();
    assertThat(parsed.bounds())
        .isEqualTo(new PlatformBounds(2_500, 5_000, 2_500, 1_200, 8_000, 0.2, 54, 10_000));
  }

  @Nested
  class ColdEndpointSettings {

    @Test
    void areStrictIfThePlatformStatesNone() {
      assertThat(bounds("--cold-overrun", "").cold()).isEqualTo(ColdAllowance.STRICT);
      assertThat(PlatformBounds.parse(with("--cold-slack", " ")).findings()).isEmpty();
    }

    @Test
    void areRead() {
      assertThat(bounds("--cold-overrun", "1.5").cold()).isEqualTo(new ColdAllowance(1.5, 0));
      assertThat(bounds("--cold-slack", "5").cold()).isEqualTo(new ColdAllowance(1, 5));
    }

    @Test
    void areReplacedIfInvalid() {
      assertThat(bounds("--cold-overrun", "0.5").cold()).isEqualTo(ColdAllowance.STRICT);
      assertThat(bounds("--cold-slack", "many").cold()).isEqualTo(ColdAllowance.STRICT);
      assertThat(PlatformBounds.parse(with("--cold-slack", "-1")).findings()).hasSize(1);
    }
  }

  @Nested
  class InvalidSettings {

    @Test
    void areReportedTogetherAndReplacedByDefaults() {
      PlatformBounds.Parsed parsed =
          PlatformBounds.parse(Map.of("--config-ms", "soon", "--retry-ratio", "7"));
      assertThat(parsed.findings()).hasSize(8);
      assertThat(parsed.findings().toString()).contains("--config-ms: 'soon' is not a number");
      assertThat(parsed.findings().toString()).contains("--drain-ms: is missing; using 2500");
      assertThat(parsed.bounds()).isEqualTo(PlatformBounds.DEFAULT);
    }

    @Test
    void includeFractionsOfMilliseconds() {
      assertThat(PlatformBounds.parse(with("--drain-ms", "2500.5")).findings()).hasSize(1);
    }
  }

  @Nested
  class Configuration {

    @Test
    void isInForceInTimeAlthoughOneReadFails() {
      for (String configMs : new String[] {"2500", "4000"}) {
        PlatformBounds bounds = bounds("--config-ms", configMs);
        assertThat(bounds.confirmIntervalMs() + FAILED_READ_MS).isLessThan(bounds.configMs());
      }
    }

    @Test
    void isConfirmedBeforeKeysExpireAlthoughOneReadFails() {
      for (String revokeMs : new String[] {"2500", "5000"}) {
        PlatformBounds bounds = bounds("--revoke-ms", revokeMs);
        assertThat(bounds.maxConfirmationAgeMs()).isLessThan(bounds.revokeMs());
        assertThat(bounds.confirmIntervalMs() + FAILED_READ_MS)
            .isLessThan(bounds.maxConfirmationAgeMs());
      }
    }

    @Test
    void isReadOftenEnoughToNoticeAnOutage() {
      PlatformBounds bounds = bounds("--config-ms", "4000");
      assertThat(bounds.confirmIntervalMs()).isLessThan(bounds.outageThresholdMs());
    }
  }

  @Nested
  class DrainingEndpoints {

    @Test
    void areNoticedInTimeAlthoughTheWatchIsBroken() {
      for (String drainMs : new String[] {"2500", "4000"}) {
        PlatformBounds bounds = bounds("--drain-ms", drainMs);
        assertThat(bounds.watchWaitMs() + FAILED_READ_MS).isLessThan(bounds.drainMs());
      }
    }
  }
}
