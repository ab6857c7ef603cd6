package org.zinniaspan.fleet;

import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.EndpointDirectory;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.SpeedEvidence;
import org.zinniaspan.forwarding.TrackedEndpoint;
import org.zinniaspan.peer.proto.EngineLoad;
import org.zinniaspan.peer.proto.EngineQuery;

/**
 * Encodes what requests told of the speed of engines: this VM's observations for its zone's
 * observer, and at the observer the sums for all. Evidence of another incarnation of an engine is
 * ignored. Not thread-safe.
 */
final class SpeedExchange {

  /** Least evidence that is sent; less of it tells nothing. */
  private static final double MIN_WEIGHT = 0.1;

  private static final int QUERY_SPEEDS = 10;
  private static final int SPEED_ENDPOINT = 1;
  private static final int SPEED_STARTED_AT_MS = 2;
  private static final int SPEED_SUMS = 3;
  private static final int LOAD_SUMS = 6;
  private static final int SUMS_WEIGHT = 1;
  private static final int SUMS_SUM = 2;
  private static final int SUMS_SQUARES = 3;

  private final EndpointDirectory directory;
  private final Clock clock;

  SpeedExchange(EndpointDirectory directory, Clock clock) {
    this.directory = directory;
    this.clock = clock;
  }

  /** Adds to a query what this VM observed since the last one. */
  void report(EngineQuery.Builder query) {
    ExtensionFields.Builder fields = new ExtensionFields.Builder();
    for (ListedEndpoint entry : directory.entries()) {
      directory
          .endpoint(entry.id())
          .map(endpoint -> endpoint.speed().takeUnreported())
          .filter(evidence -> evidence.weight() >= MIN_WEIGHT)
          .ifPresent(
              evidence ->
                  fields.message(
                      QUERY_SPEEDS,
                      new ExtensionFields.Builder()
                          .text(SPEED_ENDPOINT, entry.id())
                          .integer(SPEED_STARTED_AT_MS, entry.startedAtMs())
                          .message(SPEED_SUMS, encode(evidence))));
    }
    query.mergeUnknownFields(fields.build());
  }

  /** Adds what a VM of this zone observed. */
  void onReported(EngineQuery query) {
    for (ExtensionFields speed :
        ExtensionFields.of(query.getUnknownFields()).messages(QUERY_SPEEDS)) {
      directory
          .endpoint(speed.text(SPEED_ENDPOINT))
          .filter(endpoint -> endpoint.listed().startedAtMs() == speed.integer(SPEED_STARTED_AT_MS))
          .ifPresent(
              endpoint ->
                  speed
                      .messages(SPEED_SUMS)
                      .forEach(sums -> endpoint.speed().onReported(decode(sums), clock.nowMs())));
    }
  }

  /** Records the sums that an observer told of an engine, if it did. */
  void onTold(TrackedEndpoint engine, EngineLoad load) {
    ExtensionFields.of(load.getUnknownFields())
        .messages(LOAD_SUMS)
        .forEach(sums -> engine.speed().onTold(decode(sums), clock.nowMs()));
  }

  /** Adds to a load report what is known of the speed of the engine's incarnation. */
  EngineLoad.Builder withSums(ListedEndpoint engine, EngineLoad.Builder load) {
    directory
        .endpoint(engine.id())
        .filter(endpoint -> endpoint.listed().startedAtMs() == engine.startedAtMs())
        .map(endpoint -> endpoint.speed().evidence(clock.nowMs()))
        .filter(evidence -> evidence.weight() >= MIN_WEIGHT)
        .ifPresent(
            evidence ->
                load.mergeUnknownFields(
                    new ExtensionFields.Builder().message(LOAD_SUMS, encode(evidence)).build()));
    return load;
  }

  private static ExtensionFields.Builder encode(SpeedEvidence evidence) {
    return new ExtensionFields.Builder()
        .number(SUMS_WEIGHT, evidence.weight())
        .number(SUMS_SUM, evidence.sum())
        .number(SUMS_SQUARES, evidence.squares());
  }

  private static SpeedEvidence decode(ExtensionFields sums) {
    return new SpeedEvidence(
        sums.number(SUMS_WEIGHT), sums.number(SUMS_SUM), sums.number(SUMS_SQUARES));
  }
}
