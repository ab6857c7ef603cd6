package org.zinniaspan.forwarding;

/**
 * Result of a call to the platform.
 *
 * @param <T> type of the value that was read
 */
public sealed interface CatalogResult<T> {

  /**
   * The call was answered.
   *
   * @param value value that was read
   * @param revision revision of the platform's store at which the value is valid
   * @param <T> type of the value
   */
  record Read<T>(T value, StoreRevision revision) implements CatalogResult<T> {}

  /**
   * The changes since the requested revision are no longer available; a complete read is needed.
   *
   * @param <T> type of the value
   */
  record HistoryLost<T>() implements CatalogResult<T> {}

  /**
   * The call was refused, failed or timed out.
   *
   * @param reason description of the failure, for logs
   * @param <T> type of the value
   */
  record Failed<T>(String reason) implements CatalogResult<T> {}
}
