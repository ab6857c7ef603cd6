package org.zinniaspan.platform;

/** Names of the platform's HTTP headers. */
final class HeaderNames {

  /** Id of a client attempt; each retry of a client has its own. */
  static final String ATTEMPT_ID = "X-Zinniaspan-Attempt-Id";

  /** How long the sender waits for the response, in milliseconds. */
  static final String DEADLINE_MS = "X-Zinniaspan-Deadline-Ms";

  /** Number of prompt tokens and maximum number of output tokens, separated by a comma. */
  static final String TOKEN_USAGE = "X-Zinniaspan-Token-Usage";

  /**
   * Parts of the prompt as ID:TOKENS, separated by commas; despite its name, not a hash of the
   * prefix.
   */
  static final String PREFIX_HASH = "X-Zinniaspan-Prefix-Hash";

  /** Signature of the endpoint that produced a response. */
  static final String SERVER_STAMP = "X-Zinniaspan-Server-Stamp";

  /** Present if the endpoint states that it did not run the request. */
  static final String NOT_EXECUTED = "X-Zinniaspan-Not-Executed";

  /** Id of the endpoint that a request is addressed to. */
  static final String EXPECT_INSTANCE = "X-Zinniaspan-Expect-Instance";

  /** Name of the organisation that the client's API key belongs to. */
  static final String TENANT = "X-Zinniaspan-Tenant";

  /** Priority rank of a request at an engine, from 0 (most urgent) to 9. */
  static final String REQUEST_PRIORITY = "X-Zinniaspan-Request-Priority";

  /** Version of the model weights that a request needs. */
  static final String EXPECT_VERSION = "X-Zinniaspan-Expect-Version";

  /** Lease on a part of an engine's capacity. */
  static final String HOLD = "X-Zinniaspan-Hold";

  /** How long a prompt stays in an engine's KV cache, in milliseconds. */
  static final String PIN_MS = "X-Zinniaspan-Pin-Ms";

  /** Engine that keeps a copy of a run's KV cache. */
  static final String KV_BACKUP = "X-Zinniaspan-Kv-Backup";

  /** KV cache from which a run is resumed. */
  static final String KV_FROM = "Kv-From";

  /** Engine from which a prompt's KV cache is fetched. */
  static final String KV_FETCH = "Kv-Fetch";

  /** Id of the last event that a client received of a stream that it resumes. */
  static final String LAST_EVENT_ID = "Last-Event-Id";

  /** Id of the client attempt that delivered the first event of a stream that a client resumes. */
  static final String RESUMES = "Resumes";

  /** Present in all responses of an endpoint that is about to shut down. */
  static final String SERVER_LEAVING = "Server-Leaving";

  /**
   * Epoch of the platform's store, which rises when it is restored from a copy; in all its
   * responses.
   */
  static final String STORE_ERA = "Store-Era";

  /**
   * Number of rejections in a second beyond which an endpoint fails; present while there is such a
   * limit.
   */
  static final String SERVER_BRITTLE = "Server-Brittle";

  /**
   * Requests a second that an endpoint takes from all VMs together, as a decimal number; present
   * for as long as it states such a limit.
   */
  static final String SERVER_LIMIT = "Server-Limit";

  /** Time for which an endpoint remains cold, in milliseconds. */
  static final String COLD_MS = "X-Zinniaspan-Cold-Ms";

  private HeaderNames() {}
}
