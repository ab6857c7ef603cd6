package org.zinniaspan.inventory;

/**
 * A validation error in a document or setting.
 *
 * @param source document, file or flag that contains the error
 * @param path location within the source, for example {@code endpoints[3].zone}; may be empty
 * @param message description of the error, with the offending value and the accepted values
 */
public record Finding(String source, String path, String message) {

  @Override
  public String toString() {
    return path.isEmpty() ? source + ": " + message : source + ": " + path + ": " + message;
  }
}
