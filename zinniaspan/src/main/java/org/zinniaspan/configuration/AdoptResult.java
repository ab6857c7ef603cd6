package org.zinniaspan.configuration;

import java.util.List;
import org.zinniaspan.inventory.Finding;

/** What a {@link ConfigurationStore} did with an offered document. */
public sealed interface AdoptResult {

  /** The document is in force. */
  record Adopted(long revision) implements AdoptResult {}

  /** The document is not newer than the one in force. */
  record NotNewer(long offered, long inForce) implements AdoptResult {}

  /** The document has faults; the one in force stays. */
  record Invalid(List<Finding> findings) implements AdoptResult {}
}
