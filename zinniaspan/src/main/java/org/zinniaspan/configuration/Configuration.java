package org.zinniaspan.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.zinniaspan.inventory.Inventory;
import org.zinniaspan.inventory.Organisation;
import org.zinniaspan.inventory.Rules;
import org.zinniaspan.inventory.VmEntry;
import org.zinniaspan.inventory.VmList;

/** An immutable snapshot of the documents in force. */
public final class Configuration {

  private final Inventory inventory;
  private final Rules rules;
  private final VmList vms;
  private final Map<String, Organisation> organisationsByKeyHash;
  private final Map<String, Organisation> organisationsByName;
  private final Map<DocumentName, Long> revisions;
  private final Set<String> leavingVms;

  Configuration(
      Inventory inventory,
      Rules rules,
      List<Organisation> organisations,
      VmList vms,
      Map<DocumentName, Long> revisions) {
    this.inventory = inventory;
    this.rules = rules;
    this.vms = vms;
    this.organisationsByKeyHash = indexByKeyHash(organisations);
    this.organisationsByName =
        organisations.stream()
            .collect(Collectors.toMap(Organisation::name, Function.identity(), (a, b) -> b));
    this.revisions = Map.copyOf(revisions);
    this.leavingVms =
        vms.vms().stream()
            .filter(VmEntry::isLeaving)
            .map(VmEntry::name)
            .collect(Collectors.toUnmodifiableSet());
  }

  private static Map<String, Organisation> indexByKeyHash(List<Organisation> organisations) {
    Map<String, Organisation> index = new HashMap<>();
    for (Organisation organisation : organisations) {
      index.put(organisation.keySha256(), organisation);
    }
    return Map.copyOf(index);
  }

  /** Returns the regions, models and endpoints. */
  public Inventory inventory() {
    return inventory;
  }

  /** Returns the service classes and the rules that assign them. */
  public Rules rules() {
    return rules;
  }

  /** Returns whether the platform's list marks the VM of the given name as leaving. */
  public boolean isLeaving(String name) {
    return leavingVms.contains(name);
  }

  /**
   * Returns the platform's list of VMs, which lags behind the actual state; empty until one has
   * been read.
   */
  public VmList vms() {
    return vms;
  }

  /** Returns the organisation whose key has the given SHA-256 in lower-case hexadecimal. */
  public Optional<Organisation> organisationByKeyHash(String sha256) {
    return Optional.ofNullable(organisationsByKeyHash.get(sha256));
  }

  /** Returns the organisation of the given name. */
  public Optional<Organisation> organisation(String name) {
    return Optional.ofNullable(organisationsByName.get(name));
  }

  /** Returns the revision in force of each document that has been read. */
  public Map<DocumentName, Long> revisions() {
    return revisions;
  }

  /** Returns the revision in force of a document; zero if it has not been read. */
  public long revision(DocumentName name) {
    return revisions.getOrDefault(name, 0L);
  }

  /** Returns whether all documents that are required to serve requests have been read. */
  public boolean isComplete() {
    return revisions.containsKey(DocumentName.INVENTORY)
        && revisions.containsKey(DocumentName.ORGANISATIONS)
        && revisions.containsKey(DocumentName.RULES);
  }
}
