package org.zinniaspan.configuration;

import java.util.List;
import org.zinniaspan.inventory.Finding;

/** Result of offering a document to a {@link ConfigurationStore}. */
public sealed interface AdoptResult {

  /** The document was adopted and is in force. */
  record Adopted(long revision) implements AdoptResult {}

  /** The revision is not higher than the one in force; the document was ignored. */
  record NotNewer(long offered, long inForce) implements AdoptResult {}

  /** The document is invalid; the one in force remains. */
  record Invalid(List<Finding> findings) implements AdoptResult {}
}
