package org.zinniaspan.fleet;

import org.zinniaspan.peer.proto.StreamOriginEntry;

/**
 * The software version of a service that began a stream.
 *
 * @param attemptId id of the client attempt that delivered the first event
 * @param service name of the service
 * @param softwareVersion version of the endpoint's software
 * @param expiresMs steady time from which the stream cannot be resumed any more, in milliseconds
 */
record StreamOrigin(String attemptId, String service, String softwareVersion, long expiresMs) {

  StreamOriginEntry encode(long nowMs) {
    return StreamOriginEntry.newBuilder()
        .setAttemptId(attemptId)
        .setService(service)
        .setSoftwareVersion(softwareVersion)
        .setRemainingMs(Math.max(0, expiresMs - nowMs))
        .build();
  }

  static StreamOrigin decode(StreamOriginEntry entry, long nowMs) {
    return new StreamOrigin(
        entry.getAttemptId(),
        entry.getService(),
        entry.getSoftwareVersion(),
        nowMs + entry.getRemainingMs());
  }
}
