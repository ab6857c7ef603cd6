package org.zinniaspan.configuration;

import java.util.Arrays;
import java.util.Optional;

/** The names of the documents that the platform publishes. */
public enum DocumentName {
  /** Regions, models and endpoints. */
  INVENTORY("inventory"),
  /** Organisations and the hashes of their keys. */
  ORGANISATIONS("organisations"),
  /** Service classes and the rules that assign them. */
  RULES("rules"),
  /** The platform's list of VMs, which lags behind the actual state. */
  VMS("vms");

  private final String label;

  DocumentName(String label) {
    this.label = label;
  }

  /** Returns the name used by the platform. */
  public String label() {
    return label;
  }

  /** Returns the document name for a name used by the platform; empty if it is unknown. */
  public static Optional<DocumentName> of(String label) {
    return Arrays.stream(values()).filter(name -> name.label.equals(label)).findFirst();
  }
}
