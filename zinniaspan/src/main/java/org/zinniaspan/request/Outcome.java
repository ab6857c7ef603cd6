package org.zinniaspan.request;

import java.util.Optional;

/** Outcome of a request, as reported to its caller. */
public sealed interface Outcome {

  /** Response header that carries the outcome. */
  String HEADER = "X-Zinniaspan-Outcome";

  /** Returns the value of {@link #HEADER}. */
  String label();

  /** The endpoint answered, and the caller gets the whole answer. */
  record Answered(int status) implements Outcome {
    @Override
    public String label() {
      return "answered";
    }
  }

  /**
   * The request did not run and never will under this attempt.
   *
   * @param reason why it did not run
   * @param retryAfterMs milliseconds after which to retry, empty if a retry is pointless
   */
  record NotRun(NotRunReason reason, Optional<Long> retryAfterMs) implements Outcome {

    /** Returns an outcome for which a retry is pointless. */
    public static NotRun withoutRetry(NotRunReason reason) {
      return new NotRun(reason, Optional.empty());
    }

    /** Returns an outcome that suggests a retry after the given milliseconds. */
    public static NotRun retryAfter(NotRunReason reason, long retryAfterMs) {
      return new NotRun(reason, Optional.of(retryAfterMs));
    }

    @Override
    public String label() {
      return "not-run";
    }
  }

  /**
   * The request may have run.
   *
   * @param reason why that is uncertain, as human-readable text
   */
  record Unknown(String reason) implements Outcome {
    @Override
    public String label() {
      return "unknown";
    }
  }
}
