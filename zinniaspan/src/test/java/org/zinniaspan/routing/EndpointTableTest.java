package org.zinniaspan.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.configuration.TestConfigurations;
import org.zinniaspan.dispatch.LeaseRequest;
import org.zinniaspan.dispatch.SlotResult;
import org.zinniaspan.dispatch.SlotUse;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.EndpointKind;
import org.zinniaspan.inventory.Inventory;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.inventory.ServiceClass;
import org.zinniaspan.inventory.VmEntry;
import org.zinniaspan.inventory.VmList;
import org.zinniaspan.testkit.VirtualClock;

class EndpointTableTest {

  private static final Pool POOL = Pool.model("m");
  private final VirtualClock clock = new VirtualClock(100_000);
  private VmList vms = new VmList(0, List.of());
  private final EndpointTable table = table(4);

  private EndpointTable table(int endpoints) {
    List<Endpoint> rows = new ArrayList<>();
    for (int i = 1; i <= endpoints; i++) {
      rows.add(new Endpoint("e" + i, EndpointKind.ENGINE, "z", "", List.of("m"), "", 8, false, 0));
    }
    Inventory inventory = new Inventory(List.of(), List.of(), rows);
    return new EndpointTable("z", () -> TestConfigurations.of(inventory, vms), clock);
  }

  private List<String> candidates() {
    return candidates(table);
  }

  private static List<String> candidates(EndpointTable table) {
    return table.candidates(POOL, Set.of()).stream().map(s -> s.endpoint().name()).toList();
  }

  private void use(String endpoint, SlotResult result) {
    table.recordUse(endpoint, SlotUse.of(result));
  }

  private void hold(String endpoint, String attempt) {
    ServiceClass serviceClass = new ServiceClass("c", 0, 1_000, 0, 0, 0, false);
    table.recordSlotHeld(
        endpoint,
        new LeaseRequest(
            attempt, POOL, serviceClass, "o", 0, 0, 1, 0, List.of(7L), Set.of(), true));
  }

  private void report(String endpoint, long ageMs, boolean leaving, double msPerToken) {
    table.recordReport(
        endpoint, new LoadReport(clock.nowMs() - ageMs, 0, 0, msPerToken, 0, leaving, Set.of(), 0));
  }

  @Nested
  class Failing {
    @Test
    void unreachableIsEjectedAtOnceAndLongerEachTime() {
      use("e1", SlotResult.UNREACHABLE);
      assertThat(candidates()).containsExactly("e2", "e3", "e4");
      clock.advance(1_000);
      assertThat(candidates()).contains("e1");
      use("e1", SlotResult.UNREACHABLE);
      clock.advance(1_999);
      assertThat(candidates()).doesNotContain("e1");
      clock.advance(1);
      assertThat(candidates()).contains("e1");
    }

    @Test
    void oneRequestProbesAndItsSuccessReadmits() {
      use("e1", SlotResult.UNREACHABLE);
      clock.advance(1_000);
      hold("e1", "probe");
      assertThat(candidates()).doesNotContain("e1");
      table.recordSlotFreed("e1", "probe");
      use("e1", SlotResult.COMPLETED);
      hold("e1", "next");
      assertThat(candidates()).contains("e1");
    }

    @Test
    void ejectionNeverLastsLongerThanThirtySeconds() {
      for (int i = 0; i < 12; i++) {
        use("e1", SlotResult.UNREACHABLE);
        clock.advance(30_000);
        assertThat(candidates()).contains("e1");
      }
    }

    @Test
    void oneBrokenStreamDoesNotEjectButTwoDo() {
      use("e1", SlotResult.BROKEN);
      assertThat(candidates()).contains("e1");
      use("e1", SlotResult.BROKEN);
      assertThat(candidates()).doesNotContain("e1");
    }

    @Test
    void halfOfThePoolIsKept() {
      List.of("e1", "e2", "e3", "e4").forEach(name -> use(name, SlotResult.UNREACHABLE));
      assertThat(candidates()).hasSize(2);
    }

    @Test
    void lastEndpointIsKept() {
      EndpointTable single = table(1);
      single.recordUse("e1", SlotUse.of(SlotResult.UNREACHABLE));
      assertThat(candidates(single)).containsExactly("e1");
    }
  }

  @Nested
  class Slow {
    @Test
    void stragglerGetsNoRequestsWhileItsPaceIsKnown() {
      for (String name : List.of("e1", "e2", "e3", "e4")) {
        long durationMs = name.equals("e3") ? 1_000 : 200;
        table.recordUse(name, new SlotUse(SlotResult.COMPLETED, 11, 0, durationMs));
      }
      assertThat(candidates()).containsExactly("e1", "e2", "e4");
      clock.advance(10_001);
      assertThat(candidates()).contains("e3");
    }
  }

  @Nested
  class Leaving {
    @Test
    void refusalAppliesUntilNewerReportClearsIt() {
      use("e1", SlotResult.LEAVING);
      assertThat(candidates()).doesNotContain("e1");
      clock.advance(1_000);
      report("e1", 1_500, false, 0);
      assertThat(candidates()).doesNotContain("e1");
      report("e1", 500, false, 0);
      assertThat(candidates()).contains("e1");
    }

    @Test
    void repeatedReportsRenewLeavingStatus() {
      for (int i = 0; i < 200; i++) {
        report("e1", 400, true, 0);
        clock.advance(1_000);
        assertThat(candidates()).doesNotContain("e1");
      }
      report("e1", 400, false, 0);
      assertThat(candidates()).contains("e1");
    }

    @Test
    void leavingStatusExpiresAfterOneMinuteWithoutUpdate() {
      use("e1", SlotResult.LEAVING);
      clock.advance(59_999);
      assertThat(candidates()).doesNotContain("e1");
      clock.advance(1);
      assertThat(candidates()).contains("e1");
    }

    @Test
    void vmListDecidesLeavingStatus() {
      vms = new VmList(0, List.of(new VmEntry("e1", "z", "endpoint", "", "leaving", 0)));
      assertThat(candidates()).doesNotContain("e1");
      vms = new VmList(0, List.of(new VmEntry("e1", "z", "endpoint", "", "live", 0)));
      assertThat(candidates()).contains("e1");
    }
  }

  @Nested
  class Load {
    @Test
    void loadAddsSlotsHeldAndSubtractsSlotsFreedSinceReport() {
      hold("e1", "a");
      clock.advance(10);
      table.recordReport("e1", new LoadReport(clock.nowMs(), 5, 1, 0, 0, false, Set.of(), 0));
      clock.advance(10);
      hold("e1", "b");
      hold("e1", "c");
      table.recordSlotFreed("e1", "a");
      assertThat(table.candidates(POOL, Set.of()).get(0).load()).isEqualTo(5 + 1 + 2 - 1);
    }

    @Test
    void prefixesSentAreRememberedForTwoMinutes() {
      hold("e1", "a");
      PrefixCacheTracker prefixes = table.candidates(POOL, Set.of()).get(0).prefixes();
      assertThat(prefixes.cachedTokens(List.of(7L, 8L), clock.nowMs())).isEqualTo(64);
      clock.advance(120_001);
      assertThat(prefixes.cachedTokens(List.of(7L, 8L), clock.nowMs())).isEqualTo(0);
    }
  }
}
