package org.zinniaspan.fleet;

/** The result of a search for the software version that began a stream. */
public sealed interface StreamOriginResult {

  /**
   * The stream may be resumed at a version.
   *
   * @param softwareVersion the version that began it
   * @param source how it was found, for logs
   */
  record Known(String softwareVersion, String source) implements StreamOriginResult {}

  /**
   * The version cannot be determined, so that the stream must not be resumed.
   *
   * @param reason why, for logs
   */
  record Unknown(String reason) implements StreamOriginResult {}
}
