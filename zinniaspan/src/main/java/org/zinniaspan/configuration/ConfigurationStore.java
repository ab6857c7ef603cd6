package org.zinniaspan.configuration;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.zinniaspan.inventory.Finding;
import org.zinniaspan.inventory.Inventory;
import org.zinniaspan.inventory.Organisation;
import org.zinniaspan.inventory.Rules;
import org.zinniaspan.inventory.VmList;

/**
 * Holds the documents in force; the revision of a document never decreases.
 *
 * <p>Example: {@code store.offer(document)} returns {@link AdoptResult.Adopted} for a valid
 * document of a higher revision. An invalid document leaves the one in force unchanged.
 */
public final class ConfigurationStore {

  private final Map<DocumentName, Document> documents = new EnumMap<>(DocumentName.class);
  private final Map<DocumentName, Document> previous = new EnumMap<>(DocumentName.class);
  private final Map<DocumentName, Long> lastRejected = new ConcurrentHashMap<>();
  private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
  private final DocumentParser parser = new DocumentParser();
  private Inventory inventory = new Inventory(null, null, null);
  private Rules rules = new Rules(null, null, null);
  private List<Organisation> organisations = List.of();
  private VmList vms = new VmList(0, null);
  private volatile Configuration current = snapshot();

  /** Adds a listener that is called after each adoption of a document. */
  public void addListener(Consumer<Configuration> listener) {
    listeners.add(listener);
  }

  /** Returns the configuration in force. */
  public Configuration current() {
    return current;
  }

  /** Returns the document in force, to be sent to peers that lack it; empty if there is none. */
  public synchronized Optional<Document> document(DocumentName name) {
    return Optional.ofNullable(documents.get(name));
  }

  /** Returns the document that was in force before the current one; empty if there was none. */
  public synchronized Optional<Document> previous(DocumentName name) {
    return Optional.ofNullable(previous.get(name));
  }

  /** Returns whether this revision is the last one of the document that was rejected as invalid. */
  public boolean isRejected(DocumentName name, long revision) {
    return lastRejected.getOrDefault(name, 0L) == revision;
  }

  /** Adopts the document if its revision is higher than the one in force and it is valid. */
  public AdoptResult offer(Document document) {
    Configuration adopted;
    synchronized (this) {
      long inForce = current.revision(document.name());
      if (document.revision() <= inForce) {
        return new AdoptResult.NotNewer(document.revision(), inForce);
      }
      List<Finding> findings = new ArrayList<>();
      apply(document, findings);
      if (!findings.isEmpty()) {
        lastRejected.put(document.name(), document.revision());
        return new AdoptResult.Invalid(List.copyOf(findings));
      }
      Document replaced = documents.put(document.name(), document);
      if (replaced != null) {
        previous.put(document.name(), replaced);
      }
      adopted = snapshot();
      current = adopted;
    }
    listeners.forEach(listener -> listener.accept(adopted));
    return new AdoptResult.Adopted(document.revision());
  }

  private void apply(Document document, List<Finding> findings) {
    byte[] content = document.content();
    if (document.name() == DocumentName.INVENTORY) {
      parser.inventory(content, findings).ifPresent(value -> inventory = value);
    } else if (document.name() == DocumentName.ORGANISATIONS) {
      parser.organisations(content, findings).ifPresent(value -> organisations = value);
    } else if (document.name() == DocumentName.RULES) {
      parser.rules(content, findings).ifPresent(value -> rules = value);
    } else {
      parser.vms(content, findings).ifPresent(value -> vms = value);
    }
  }

  private Configuration snapshot() {
    Map<DocumentName, Long> revisions = new EnumMap<>(DocumentName.class);
    documents.forEach((name, document) -> revisions.put(name, document.revision()));
    return new Configuration(inventory, rules, organisations, vms, revisions);
  }
}
