package org.zinniaspan.platform;

/** Names of the platform's HTTP headers. */
final class HeaderNames {

  /** Id of one client attempt; each retry of a client has its own. */
  static final String ATTEMPT_ID = "X-Zinniaspan-Attempt-Id";

  /** How long the sender waits for the answer, in milliseconds. */
  static final String DEADLINE_MS = "X-Zinniaspan-Deadline-Ms";

  /** Prompt tokens and most output tokens, separated by a comma. */
  static final String TOKEN_USAGE = "X-Zinniaspan-Token-Usage";

  /** Parts of the prompt as ID:TOKENS, separated by commas; not a hash of the prefix. */
  static final String PREFIX_HASH = "X-Zinniaspan-Prefix-Hash";

  /** Signature of the endpoint that made an answer. */
  static final String SERVER_STAMP = "X-Zinniaspan-Server-Stamp";

  /** Present if the endpoint states that it did not run the request. */
  static final String NOT_EXECUTED = "X-Zinniaspan-Not-Executed";

  /** Id of the endpoint that a request is meant for. */
  static final String EXPECT_INSTANCE = "X-Zinniaspan-Expect-Instance";

  /** Name of the organisation that holds the client's key. */
  static final String TENANT = "X-Zinniaspan-Tenant";

  /** Rank of a request at an engine, 0 (first) to 9. */
  static final String REQUEST_PRIORITY = "X-Zinniaspan-Request-Priority";

  /** Version of the weights that a request needs. */
  static final String EXPECT_VERSION = "X-Zinniaspan-Expect-Version";

  /** A lease on an engine's capacity. */
  static final String HOLD = "X-Zinniaspan-Hold";

  /** How long a prompt stays in an engine's memory, in milliseconds. */
  static final String PIN_MS = "X-Zinniaspan-Pin-Ms";

  /** Engine that keeps a copy of a run's memory. */
  static final String KV_BACKUP = "X-Zinniaspan-Kv-Backup";

  /** Memory from which a run goes on. */
  static final String KV_FROM = "Kv-From";

  /** Engine from which a prompt's memory is fetched. */
  static final String KV_FETCH = "Kv-Fetch";

  private HeaderNames() {}
}
