package org.zinniaspan.request;

import java.util.Optional;

/** What became of a request, as its caller is told. */
public sealed interface Outcome {

  /** Header that carries the outcome to the caller. */
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
   * @param reason why, for people
   * @param retryAfterMs when to ask again, empty where that is pointless
   */
  record NotRun(NotRunReason reason, Optional<Long> retryAfterMs) implements Outcome {

    /** Returns an outcome for which asking again is pointless. */
    public static NotRun withoutRetry(NotRunReason reason) {
      return new NotRun(reason, Optional.empty());
    }

    /** Returns an outcome that invites a retry after the given milliseconds. */
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
   * @param reason why that is not certain, for people
   */
  record Unknown(String reason) implements Outcome {
    @Override
    public String label() {
      return "unknown";
    }
  }
}
