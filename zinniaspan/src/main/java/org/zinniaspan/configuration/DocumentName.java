package org.zinniaspan.configuration;

import java.util.Arrays;
import java.util.Optional;

/** The documents that the platform publishes. */
public enum DocumentName {
  /** Regions, models and endpoints. */
  INVENTORY("inventory"),
  /** Organisations and the hashes of their keys. */
  ORGANISATIONS("organisations"),
  /** Classes and the rules that assign them. */
  RULES("rules"),
  /** The platform's lagging list of VMs. */
  VMS("vms");

  private final String label;

  DocumentName(String label) {
    this.label = label;
  }

  /** Returns the name that the platform uses. */
  public String label() {
    return label;
  }

  /** Returns the document of that platform name. */
  public static Optional<DocumentName> of(String label) {
    return Arrays.stream(values()).filter(name -> name.label.equals(label)).findFirst();
  }
}
