package org.zinniaspan.stream;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.dispatch.SlotService;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.routing.OutputLengthEstimator;

/**
 * Runs each chat request with retries; a broken stream is resumed after the last delivered token.
 *
 * <p>Retries are limited for each request and by a retry budget for the whole process.
 *
 * <p>Example: {@code ResumingChatRunner.builder(slots, engines).configuration(store::current)
 * .clock(clock).build()}.
 */
public final class ResumingChatRunner implements ChatRunner {

  private final StreamDependencies dependencies;

  private ResumingChatRunner(StreamDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /** Returns a builder. */
  public static Builder builder(SlotService slots, EngineClient engines) {
    return new Builder(slots, engines);
  }

  @Override
  public ChatStart start(ChatCall call, BooleanSupplier callerLeft) {
    return new ResumingSession(dependencies, call, callerLeft).start();
  }

  /** Builds a runner; the configuration and the clock are required. */
  public static final class Builder {

    private static final double RETRY_RATIO = 0.2;
    private static final double RETRIES_PER_SECOND = 2;

    private final SlotService slots;
    private final EngineClient engines;
    private Supplier<Configuration> configuration;
    private Function<Pool, List<Endpoint>> endpoints;
    private Clock clock;
    private SlotWait wait = SlotWait.blocking();
    private RetryBudget budget;
    private OutputLengthEstimator outputLengthEstimator = OutputLengthEstimator.constant(0);
    private StreamSettings settings = StreamSettings.DEFAULTS;

    private Builder(SlotService slots, EngineClient engines) {
      this.slots = slots;
      this.engines = engines;
    }

    /** Sets the supplier of the configuration in force. */
    public Builder configuration(Supplier<Configuration> value) {
      configuration = value;
      return this;
    }

    /** Sets the endpoints that can grant slots; by default all that serve the pool. */
    public Builder endpoints(Function<Pool, List<Endpoint>> value) {
      endpoints = value;
      return this;
    }

    /** Sets the clock. */
    public Builder clock(Clock value) {
      clock = value;
      return this;
    }

    /** Sets how the runner waits for slots; by default it blocks the calling thread. */
    public Builder slotWait(SlotWait value) {
      wait = value;
      return this;
    }

    /** Sets the retry budget; by default 0.2 retries per success plus 2 per second. */
    public Builder budget(RetryBudget value) {
      budget = value;
      return this;
    }

    /** Sets the estimator of answer lengths; by default there are no estimates. */
    public Builder outputLengthEstimator(OutputLengthEstimator value) {
      outputLengthEstimator = value;
      return this;
    }

    /** Sets timeouts and limits; by default {@link StreamSettings#DEFAULTS}. */
    public Builder settings(StreamSettings value) {
      settings = value;
      return this;
    }

    /** Builds the runner. */
    public ResumingChatRunner build() {
      RetryBudget retries =
          budget == null ? new RetryBudget(RETRY_RATIO, RETRIES_PER_SECOND, clock) : budget;
      Function<Pool, List<Endpoint>> candidates = endpoints == null ? this::allServing : endpoints;
      return new ResumingChatRunner(
          new StreamDependencies(
              slots,
              engines,
              configuration,
              candidates,
              clock,
              wait,
              retries,
              outputLengthEstimator,
              settings));
    }

    private List<Endpoint> allServing(Pool pool) {
      return configuration.get().inventory().endpoints().stream()
          .filter(endpoint -> endpoint.serves(pool))
          .toList();
    }
  }
}
