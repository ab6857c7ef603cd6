package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SlotLedgerTest {

  private static final long EPOCH = 7;

  private final SlotLedger ledger = new SlotLedger();

  private void register(long number, Set<Long> unanswered, Map<String, Integer> held) {
    ledger.register(new SlotLedger.Statement("vm", EPOCH, number, unanswered, held), 1_000);
  }

  @Test
  void countsWhatAllVmsHold() {
    register(1, Set.of(), Map.of("e", 2));
    ledger.register(
        new SlotLedger.Statement("other", EPOCH, 1, Set.of(), Map.of("e", 1, "f", 1)), 1_000);
    assertThat(ledger.taken("e")).isEqualTo(3);
    assertThat(ledger.taken("f")).isEqualTo(1);
    assertThat(ledger.taken("g")).isEqualTo(0);
  }

  @Test
  void replacesWhatVmStatedBefore() {
    register(1, Set.of(), Map.of("e", 2));
    register(2, Set.of(), Map.of("f", 1));
    assertThat(ledger.taken("e")).isEqualTo(0);
    assertThat(ledger.taken("f")).isEqualTo(1);
  }

  @Test
  void ignoresStatementThatArrivesLate() {
    register(2, Set.of(), Map.of("e", 2));
    register(1, Set.of(), Map.of());
    assertThat(ledger.taken("e")).isEqualTo(2);
  }

  @Nested
  class AssignedSlots {

    @Test
    void countUntilVmStatesWhatBecameOfThem() {
      register(1, Set.of(), Map.of());
      ledger.assign("vm", 1, List.of("e", "e"));
      register(2, Set.of(1L), Map.of());
      assertThat(ledger.taken("e")).isEqualTo(2);
      register(3, Set.of(), Map.of("e", 1));
      assertThat(ledger.taken("e")).isEqualTo(1);
    }

    @Test
    void countThoughAnEarlierStatementArrivesLater() {
      register(2, Set.of(), Map.of());
      ledger.assign("vm", 2, List.of("e"));
      register(1, Set.of(), Map.of());
      assertThat(ledger.taken("e")).isEqualTo(1);
    }

    @Test
    void areFreeOnceTheReplyIsKnownToBeLost() {
      register(1, Set.of(), Map.of());
      ledger.assign("vm", 1, List.of("e"));
      register(2, Set.of(), Map.of());
      assertThat(ledger.taken("e")).isEqualTo(0);
    }

    @Test
    void endWithTheProcessThatAskedForThem() {
      register(5, Set.of(), Map.of("f", 1));
      ledger.assign("vm", 5, List.of("e"));
      ledger.register(new SlotLedger.Statement("vm", 8, 1, Set.of(), Map.of()), 1_100);
      assertThat(ledger.taken("e")).isEqualTo(0);
      assertThat(ledger.taken("f")).isEqualTo(0);
    }
  }

  @Test
  void freesSlotsOfSilentVms() {
    register(1, Set.of(), Map.of("e", 2));
    ledger.assign("vm", 1, List.of("e"));
    ledger.register(new SlotLedger.Statement("other", EPOCH, 1, Set.of(), Map.of("e", 1)), 4_000);
    ledger.removeSilentSince(2_000);
    assertThat(ledger.taken("e")).isEqualTo(1);
  }
}
