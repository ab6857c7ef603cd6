package org.zinniaspan.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.zinniaspan.forwarding.PlatformBounds;
import org.zinniaspan.peer.proto.CatalogQuery;
import org.zinniaspan.peer.proto.CatalogState;

class CatalogServiceTest {

  private final FleetSimulation fleet = FleetSimulation.fleet(2, PlatformBounds.DEFAULT, 1, 1);
  private final FleetSimulation.Vm reader = fleet.vms.get("vm-000");
  private final List<CatalogState> answers = new ArrayList<>();

  @BeforeEach
  void read() {
    fleet.store.put(FleetSimulation.endpoint("e-1", "zone-0", false));
    fleet.advance(500);
  }

  private void ask(CatalogQuery.Builder query) {
    reader.service.onQuery(query.build(), answers::add);
  }

  private CatalogState answer() {
    return answers.get(answers.size() - 1);
  }

  private CatalogQuery.Builder upToDateQuery() {
    ask(CatalogQuery.newBuilder().setVersion(1));
    return CatalogQuery.newBuilder()
        .setVersion(1)
        .setListEpoch(answer().getListEpoch())
        .setListSequence(answer().getListSequence())
        .setWaitMs(1_000);
  }

  @Test
  void sendsWhatTheQueryLacksAtOnce() {
    ask(CatalogQuery.newBuilder().setVersion(0).setWaitMs(1_000));
    assertThat(answer().getConfirmed()).isTrue();
    assertThat(answer().getTable().isEmpty()).isFalse();
    assertThat(answer().getEndpointsList()).hasSize(1);
  }

  @Test
  void holdsTheQueryUntilSomethingChanges() {
    ask(upToDateQuery());
    fleet.advance(300);
    assertThat(answers).hasSize(1);
    fleet.store.publish();
    fleet.advance(100);
    assertThat(answers).hasSize(2);
    assertThat(answer().getVersion()).isEqualTo(2);
    assertThat(answer().getHeldMs()).isAtLeast(300);
  }

  @Test
  void answersWhenTheWaitIsOver() {
    ask(upToDateQuery());
    fleet.advance(1_050);
    assertThat(answers).hasSize(2);
    assertThat(answer().getListIncluded()).isFalse();
    assertThat(answer().getConfirmed()).isTrue();
  }

  @Test
  void doesNotConfirmAfterSuspension() {
    reader.pause(3_000, true);
    fleet.cut("vm-000", SimulatedStore.NAME);
    fleet.nowMs += 3_000;
    ask(CatalogQuery.newBuilder().setVersion(1));
    assertThat(reader.freshness.ageMs()).isLessThan(PlatformBounds.DEFAULT.confirmIntervalMs());
    assertThat(answer().getConfirmed()).isFalse();
  }

  @Test
  void doesNotConfirmOnceThePlatformIsSilent() {
    ask(upToDateQuery().setWaitMs(5_000));
    fleet.store.down = true;
    fleet.advance(2_000);
    assertThat(answers).hasSize(2);
    assertThat(answer().getConfirmed()).isFalse();
  }

  @Test
  void doesNotConfirmWhenItStops() {
    reader.service.stop();
    ask(upToDateQuery());
    assertThat(answer().getConfirmed()).isFalse();
  }
}
