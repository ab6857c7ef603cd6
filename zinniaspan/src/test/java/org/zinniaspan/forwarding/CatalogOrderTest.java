package org.zinniaspan.forwarding;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * A follower of a store whose answers arrive in any order: lists of several pages, watches and the
 * lists of another VM.
 */
class CatalogOrderTest {

  private static final int SEEDS = 200;
  private static final int STEPS = 400;
  private static final int IDS = 8;
  private static final int PAGE_ENTRIES = 3;

  private long nowMs = 50_000;

  private interface Answer {
    void deliver();
  }

  /** A store that changes while its answers are on their way. */
  private final class Store implements Catalog {
    final Random random;
    final TreeMap<String, ListedEndpoint> entries = new TreeMap<>();
    final List<EndpointChange> history = new ArrayList<>();
    final List<Answer> onTheirWay = new ArrayList<>();

    Store(Random random) {
      this.random = random;
    }

    StoreRevision at() {
      return new StoreRevision(1, history.size());
    }

    /** Adds, changes or removes an entry; the slots of an entry are the revision that wrote it. */
    void change() {
      String id = "e" + random.nextInt(IDS);
      if (entries.containsKey(id) && random.nextInt(3) == 0) {
        entries.remove(id);
        history.add(new EndpointChange.Removed(id));
      } else {
        int revision = history.size() + 1;
        ListedEndpoint entry =
            new ListedEndpoint(id, "service", "10.0.0.1:80", "zone-a", "v1", revision, false, 1);
        entries.put(id, entry);
        history.add(new EndpointChange.Listed(entry));
      }
    }

    @Override
    public void readOperatorState(Consumer<CatalogResult<OperatorState>> callback) {
      OperatorState state = new OperatorState(Optional.of(TestTables.table(7)), Set.of());
      CatalogResult<OperatorState> result = new CatalogResult.Read<>(state, at());
      onTheirWay.add(() -> callback.accept(result));
    }

    @Override
    public Optional<RoutingTable> decodeTable(byte[] document) {
      return Optional.empty();
    }

    @Override
    public void readEndpoints(Consumer<CatalogResult<List<EndpointPage>>> callback) {
      onTheirWay.add(() -> readPage("", new ArrayList<>(), callback));
    }

    private void readPage(
        String after,
        List<EndpointPage> pages,
        Consumer<CatalogResult<List<EndpointPage>>> callback) {
      List<ListedEndpoint> found =
          entries.tailMap(after, false).values().stream().limit(PAGE_ENTRIES).toList();
      if (found.size() == PAGE_ENTRIES) {
        String last = found.get(PAGE_ENTRIES - 1).id();
        pages.add(new EndpointPage(found, Optional.of(last), at()));
        onTheirWay.add(() -> readPage(last, pages, callback));
      } else {
        pages.add(new EndpointPage(found, at()));
        onTheirWay.add(
            () -> callback.accept(new CatalogResult.Read<>(pages, pages.get(0).revision())));
      }
    }

    @Override
    public void watch(
        long afterRevision, long waitMs, Consumer<CatalogResult<CatalogChanges>> callback) {
      onTheirWay.add(
          () -> {
            CatalogResult<CatalogChanges> result =
                new CatalogResult.Read<>(
                    new CatalogChanges(Optional.empty(), changesAfter(afterRevision), List.of()),
                    at());
            onTheirWay.add(() -> callback.accept(result));
          });
    }

    @Override
    public void readChanges(
        long afterRevision, Consumer<CatalogResult<List<CatalogChanges.AtRevision>>> callback) {
      onTheirWay.add(
          () -> {
            CatalogResult<List<CatalogChanges.AtRevision>> result =
                new CatalogResult.Read<>(changesAfter(afterRevision), at());
            onTheirWay.add(() -> callback.accept(result));
          });
    }

    private List<CatalogChanges.AtRevision> changesAfter(long afterRevision) {
      List<CatalogChanges.AtRevision> changes = new ArrayList<>();
      for (int number = (int) afterRevision + 1; number <= history.size(); number++) {
        changes.add(
            new CatalogChanges.AtRevision(new StoreRevision(1, number), history.get(number - 1)));
      }
      return changes;
    }

    /** Returns the revision that wrote or removed what is known of an entry. */
    int knownRevision(String id, Optional<ListedEndpoint> known, int before) {
      if (known.isPresent()) {
        return known.get().slots();
      }
      for (int revision = before + 1; revision <= history.size(); revision++) {
        EndpointChange change = history.get(revision - 1);
        if (change.id().equals(id) && change instanceof EndpointChange.Removed) {
          return revision;
        }
      }
      return before;
    }
  }

  @Test
  void noEntryGoesBackToAnOlderState() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      play(seed);
    }
  }

  private void play(int seed) {
    Random random = new Random(seed);
    Store store = new Store(random);
    EndpointDirectory directory = new EndpointDirectory(() -> nowMs);
    CatalogFollower follower =
        new CatalogFollower(
            store,
            () -> nowMs,
            new TableFreshness(() -> nowMs, () -> nowMs, 4_600),
            directory,
            PlatformBounds.DEFAULT,
            new Random(seed));
    Map<String, ListedEndpoint> shown = new HashMap<>();
    Map<String, Integer> shownRevisions = new HashMap<>();
    for (int step = 0; step < STEPS; step++) {
      switch (random.nextInt(6)) {
        case 0 -> store.change();
        case 1 -> nowMs += random.nextInt(20_000);
        case 2 -> sendPeerList(random, store, follower);
        case 3 -> follower.confirmList(confirmed -> {});
        default -> {
          if (!store.onTheirWay.isEmpty()) {
            store.onTheirWay.remove(random.nextInt(store.onTheirWay.size())).deliver();
          }
        }
      }
      follower.tick();
      directory.tick();
      for (int number = 0; number < IDS; number++) {
        String id = "e" + number;
        Optional<ListedEndpoint> known = directory.endpoint(id).map(TrackedEndpoint::listed);
        if (known.equals(Optional.ofNullable(shown.get(id)))) {
          continue;
        }
        int before = shownRevisions.getOrDefault(id, 0);
        int now = store.knownRevision(id, known, before);
        assertWithMessage("seed %s step %s: %s, before at %s", seed, step, known, before)
            .that(now)
            .isGreaterThan(before);
        shownRevisions.put(id, now);
        shown.remove(id);
        known.ifPresent(entry -> shown.put(id, entry));
      }
    }
    settle(store, follower);
    nowMs += 3_000;
    directory.tick();
    assertWithMessage("seed %s", seed)
        .that(directory.entries())
        .containsExactlyElementsIn(store.entries.values());
  }

  /** Another VM sends its list, which is as old as an answer of the store may be. */
  private static void sendPeerList(Random random, Store store, CatalogFollower follower) {
    if (random.nextInt(4) == 0) {
      List<ListedEndpoint> list = List.copyOf(store.entries.values());
      StoreRevision revision = store.at();
      store.onTheirWay.add(() -> follower.onPeerList(list, revision));
    }
  }

  /** Delivers all answers, oldest first, until a list that was requested now has arrived. */
  private void settle(Store store, CatalogFollower follower) {
    for (int i = 0; i < 40; i++) {
      if (i == 20) {
        nowMs += 31_000;
      }
      follower.tick();
      List<Answer> answers = List.copyOf(store.onTheirWay);
      store.onTheirWay.clear();
      answers.forEach(Answer::deliver);
    }
  }
}
