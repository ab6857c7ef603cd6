package org.zinniaspan.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationFeedTest {

  private final FeedFleet fleet = new FeedFleet(4, 3, 5);

  @BeforeEach
  void settle() {
    fleet.network.advance(8_000);
    assertThat(fleet.isInForce()).isTrue();
  }

  private long inForceMs(String situation) {
    long tookMs = fleet.until(fleet::isInForce, 60_000);
    System.out.println("in force on all VMs, " + situation + ": " + tookMs + " ms");
    assertThat(fleet.violations).isEmpty();
    return tookMs;
  }

  @Nested
  class InSteadyState {
    @Test
    void changeIsInForceEverywhereWithinOneSecond() {
      fleet.publishRules(100);
      assertThat(inForceMs("100 B")).isAtMost(1_000L);
    }

    @Test
    void largeDocumentIsInForceWithinTwoSecondsAndCrossesNoZone() {
      fleet.remoteBytes = 0;
      fleet.publishRules(900_000);
      assertThat(inForceMs("900 kB")).isAtMost(2_000L);
      fleet.network.advance(10_000);
      assertThat(fleet.remoteBytes).isLessThan(20_000L);
    }

    @Test
    void oneReaderPerZoneCallsThePlatform() {
      fleet.platform.calls = 0;
      fleet.network.advance(60_000);
      System.out.println("platform calls of 2 readers in 60 s: " + fleet.platform.calls);
      assertThat(fleet.platform.calls).isAtMost(100L);
    }
  }

  @Nested
  class WithFaults {
    @Test
    void killedReaderIsReplaced() {
      String reader = fleet.vms.get("a-1").membership().ownerOf(ConfigurationFeed.ROLE).vm();
      fleet.kill(reader);
      fleet.publishRules(100);
      assertThat(inForceMs("reader killed")).isAtMost(9_000L);
    }

    @Test
    void zoneCutFromThePlatformFetchesFromTheOtherZone() {
      fleet.platform.setDown("a", true);
      fleet.network.advance(20_000);
      fleet.publishRules(100);
      assertThat(inForceMs("zone cut from platform")).isAtMost(9_000L);
    }

    @Test
    void zoneWithStaleReplicaFetchesFromTheOtherZone() {
      fleet.platform.makeStale("a");
      fleet.publishRules(100);
      assertThat(inForceMs("stale replica")).isAtMost(9_000L);
    }

    @Test
    void lostPartsAreRequestedAgain() {
      fleet.network.setFaultRates(0.2, 0.05);
      fleet.publishRules(500_000);
      assertThat(inForceMs("500 kB with 20% loss")).isAtMost(60_000L);
    }

    @Test
    void platformRollbackIsCountedAndNotAdopted() {
      fleet.platform.saveSnapshot();
      fleet.publishRules(100);
      inForceMs("before the rollback");
      fleet.platform.rollBack("a");
      fleet.network.advance(25_000);
      assertThat(fleet.isInForce()).isTrue();
      long regressions =
          fleet.ofZone("a").stream().mapToLong(vm -> vm.feed().platformRegressions()).sum();
      assertThat(regressions).isAtLeast(1L);
    }

    @Test
    void newVmWithStalePlatformAdoptsThePeersRevision() {
      fleet.platform.makeStale("a");
      final long newest = fleet.publishRules(100);
      inForceMs("before the start of a new VM");
      fleet.kill("a-2");
      FeedFleet.Vm newVm = fleet.start("a-2");
      fleet.until(() -> newVm.store().current().isComplete(), 10_000);
      assertThat(newVm.revision(DocumentName.RULES)).isEqualTo(newest);
    }

    @Test
    void invalidDocumentIsRejectedOnceAndTheNextOneAdopted() {
      fleet.platform.publish(DocumentName.RULES, "{\"classes\":[{\"tier\":-1}]}", false);
      fleet.network.advance(5_000);
      fleet.platform.calls = 0;
      fleet.network.advance(30_000);
      assertThat(fleet.platform.calls).isAtMost(60L);
      fleet.publishRules(100);
      assertThat(inForceMs("after an invalid document")).isAtMost(2_000L);
    }
  }

  @Nested
  class DeltaEncoding {
    @Test
    void contentWithAnotherHashIsRejected() {
      Document document = new Document(DocumentName.RULES, 2, new byte[] {'{', '}'});
      byte[] payload = DocumentDelta.encode(document, Optional.empty()).payload();
      DocumentDelta wrong = new DocumentDelta(0, 0, 0, "0".repeat(64), payload);
      assertThat(wrong.decode(Optional.empty())).isEmpty();
    }

    @Test
    void sameContentAtHigherRevisionIsRestored() {
      Document base = new Document(DocumentName.RULES, 1, new byte[] {'{', '}'});
      Document document = new Document(DocumentName.RULES, 2, new byte[] {'{', '}'});
      DocumentDelta delta = DocumentDelta.encode(document, Optional.of(base));
      assertThat(delta.decode(Optional.of(base)).orElseThrow()).isEqualTo(document.content());
    }

    @Test
    void smallChangeOfLargeDocumentHasSmallPayload() {
      byte[] old = new byte[500_000];
      new java.util.Random(1).nextBytes(old);
      byte[] changed = old.clone();
      changed[250_000]++;
      Document base = new Document(DocumentName.RULES, 1, old);
      Document document = new Document(DocumentName.RULES, 2, changed);
      DocumentDelta delta = DocumentDelta.encode(document, Optional.of(base));
      assertThat(delta.payload().length).isLessThan(100);
      assertThat(delta.decode(Optional.of(base)).orElseThrow()).isEqualTo(changed);
      assertThat(delta.decode(Optional.empty())).isEmpty();
    }
  }
}
