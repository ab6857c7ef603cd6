package org.zinniaspan.fleet;

import org.zinniaspan.clock.Clock;
import org.zinniaspan.forwarding.EndpointDirectory;
import org.zinniaspan.forwarding.ListedEndpoint;
import org.zinniaspan.forwarding.SpeedEvidence;
import org.zinniaspan.forwarding.TrackedEndpoint;
import org.zinniaspan.peer.proto.EndpointSpeed;
import org.zinniaspan.peer.proto.EngineLoad;
import org.zinniaspan.peer.proto.EngineQuery;
import org.zinniaspan.peer.proto.SpeedSums;

/**
 * Encodes what requests told of the speed of engines: this VM's observations for its zone's
 * observer, and at the observer the sums for all. Evidence of another incarnation of an engine is
 * ignored. Not thread-safe.
 */
final class SpeedExchange {

  /** Least evidence that is sent; less of it tells nothing. */
  private static final double MIN_WEIGHT = 0.1;

  private final EndpointDirectory directory;
  private final Clock clock;

  SpeedExchange(EndpointDirectory directory, Clock clock) {
    this.directory = directory;
    this.clock = clock;
  }

  /** Adds to a query what this VM observed since the last one. */
  void report(EngineQuery.Builder query) {
    for (ListedEndpoint entry : directory.entries()) {
      directory
          .endpoint(entry.id())
          .map(endpoint -> endpoint.speed().takeUnreported())
          .filter(evidence -> evidence.weight() >= MIN_WEIGHT)
          .ifPresent(
              evidence ->
                  query.addSpeeds(
                      EndpointSpeed.newBuilder()
                          .setEndpoint(entry.id())
                          .setStartedAtMs(entry.startedAtMs())
                          .setSums(encode(evidence))));
    }
  }

  /** Adds what a VM of this zone observed. */
  void onReported(EngineQuery query) {
    for (EndpointSpeed speed : query.getSpeedsList()) {
      directory
          .endpoint(speed.getEndpoint())
          .filter(endpoint -> endpoint.listed().startedAtMs() == speed.getStartedAtMs())
          .ifPresent(
              endpoint -> endpoint.speed().onReported(decode(speed.getSums()), clock.nowMs()));
    }
  }

  /** Records the sums that an observer told of an engine, if it did. */
  void onTold(TrackedEndpoint engine, EngineLoad load) {
    if (load.hasSpeed()) {
      engine.speed().onTold(decode(load.getSpeed()), clock.nowMs());
    }
  }

  /** Adds to a load report what is known of the speed of the engine's incarnation. */
  EngineLoad.Builder withSums(ListedEndpoint engine, EngineLoad.Builder load) {
    directory
        .endpoint(engine.id())
        .filter(endpoint -> endpoint.listed().startedAtMs() == engine.startedAtMs())
        .map(endpoint -> endpoint.speed().evidence(clock.nowMs()))
        .filter(evidence -> evidence.weight() >= MIN_WEIGHT)
        .ifPresent(evidence -> load.setSpeed(encode(evidence)));
    return load;
  }

  private static SpeedSums encode(SpeedEvidence evidence) {
    return SpeedSums.newBuilder()
        .setWeight((float) evidence.weight())
        .setSum((float) evidence.sum())
        .setSquares((float) evidence.squares())
        .build();
  }

  private static SpeedEvidence decode(SpeedSums sums) {
    return new SpeedEvidence(sums.getWeight(), sums.getSum(), sums.getSquares());
  }
}
