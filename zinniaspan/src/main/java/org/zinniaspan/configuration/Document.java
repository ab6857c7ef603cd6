package org.zinniaspan.configuration;

import java.util.Arrays;

/**
 * A published document.
 *
 * @param name name of the document
 * @param revision the platform's revision number; higher is newer
 * @param content JSON text in UTF-8
 */
public record Document(DocumentName name, long revision, byte[] content) {

  @Override
  public boolean equals(Object other) {
    return other instanceof Document that
        && name == that.name
        && revision == that.revision
        && Arrays.equals(content, that.content);
  }

  @Override
  public int hashCode() {
    return 31 * Long.hashCode(revision) + Arrays.hashCode(content);
  }
}
