package org.zinniaspan.forwarding;

/**
 * Result of one call to the platform.
 *
 * @param <T> what was read
 */
public sealed interface CatalogResult<T> {

  /**
   * The call was answered.
   *
   * @param value what was read
   * @param revision revision of the platform's store at which it holds
   * @param <T> what was read
   */
  record Read<T>(T value, long revision) implements CatalogResult<T> {}

  /**
   * The changes since the revision that was asked for are no longer available.
   *
   * @param <T> what was read
   */
  record HistoryLost<T>() implements CatalogResult<T> {}

  /**
   * The call was refused, failed or timed out.
   *
   * @param reason what happened
   * @param <T> what was read
   */
  record Failed<T>(String reason) implements CatalogResult<T> {}
}
