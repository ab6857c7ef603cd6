package org.zinniaspan.configuration;

import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.configuration.DocumentSource.Change;
import org.zinniaspan.testkit.VirtualNetwork;

/** Simulates the platform, with a replica for each availability zone that can be down or stale. */
final class FakePlatform {

  private static final long RESPONSE_DELAY_MS = 2;
  private static final long FAILURE_DELAY_MS = 100;
  private static final long POLL_INTERVAL_MS = 20;

  private final Map<DocumentName, Document> documents = new EnumMap<>(DocumentName.class);
  private final Map<Long, Document> published = new HashMap<>();
  private final Set<Long> invalid = new HashSet<>();
  private final Set<String> down = new HashSet<>();
  private final Map<String, Map<DocumentName, Document>> stale = new HashMap<>();
  private Map<DocumentName, Document> snapshot = Map.of();
  private long revision;
  long calls;

  long publish(DocumentName name, String json, boolean valid) {
    revision++;
    Document document = new Document(name, revision, json.getBytes(StandardCharsets.UTF_8));
    documents.put(name, document);
    published.put(revision, document);
    if (!valid) {
      invalid.add(revision);
    }
    return revision;
  }

  boolean isPublished(Document document) {
    return document.equals(published.get(document.revision()))
        && !invalid.contains(document.revision());
  }

  /** Returns the newest document; empty if it is invalid. */
  Optional<Document> newest(DocumentName name) {
    return Optional.ofNullable(documents.get(name))
        .filter(document -> !invalid.contains(document.revision()));
  }

  void setDown(String zone, boolean value) {
    if (value) {
      down.add(zone);
    } else {
      down.remove(zone);
    }
  }

  /** Makes the replica of the zone return the current documents from now on. */
  void makeStale(String zone) {
    stale.put(zone, new EnumMap<>(documents));
  }

  /** Saves the current documents for {@link #rollBack}. */
  void saveSnapshot() {
    snapshot = new EnumMap<>(documents);
  }

  /** Makes the replica of the zone return the documents of the last snapshot. */
  void rollBack(String zone) {
    stale.put(zone, snapshot);
  }

  void heal() {
    down.clear();
    stale.clear();
  }

  void heal(String zone) {
    down.remove(zone);
    stale.remove(zone);
  }

  private Map<DocumentName, Document> visible(String zone) {
    return stale.getOrDefault(zone, documents);
  }

  PlatformClient client(String vm, String zone, VirtualNetwork network, Clock clock) {
    return new PlatformClient() {
      @Override
      public void watch(long after, long waitMs, Consumer<Optional<List<Change>>> done) {
        calls++;
        poll(after, clock.nowMs() + waitMs, done);
      }

      private void poll(long after, long untilMs, Consumer<Optional<List<Change>>> done) {
        if (down.contains(zone)) {
          network.schedule(vm, FAILURE_DELAY_MS, () -> done.accept(Optional.empty()));
          return;
        }
        List<Change> changes =
            visible(zone).values().stream()
                .filter(document -> document.revision() > after)
                .map(document -> new Change(document.name(), document.revision()))
                .toList();
        if (!changes.isEmpty() || clock.nowMs() >= untilMs) {
          network.schedule(vm, RESPONSE_DELAY_MS, () -> done.accept(Optional.of(changes)));
        } else {
          network.schedule(vm, POLL_INTERVAL_MS, () -> poll(after, untilMs, done));
        }
      }

      @Override
      public void read(DocumentName name, Consumer<Optional<Document>> done) {
        calls++;
        network.schedule(
            vm,
            RESPONSE_DELAY_MS,
            () ->
                done.accept(
                    down.contains(zone)
                        ? Optional.empty()
                        : Optional.ofNullable(visible(zone).get(name))));
      }
    };
  }
}
