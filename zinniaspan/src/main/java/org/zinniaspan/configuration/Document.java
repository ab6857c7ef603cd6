package org.zinniaspan.configuration;

import java.util.Arrays;

/**
 * One published document.
 *
 * @param name one of {@link DocumentName}
 * @param revision the platform's revision; larger is newer
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
