package org.zinniaspan.inventory;

/**
 * One fault of a document or setting.
 *
 * @param source document, file or flag in which it stands
 * @param path place within the source, as {@code endpoints[3].zone}
 * @param message what is wrong, with the offending input and the valid choices
 */
public record Finding(String source, String path, String message) {

  @Override
  public String toString() {
    return path.isEmpty() ? source + ": " + message : source + ": " + path + ": " + message;
  }
}
