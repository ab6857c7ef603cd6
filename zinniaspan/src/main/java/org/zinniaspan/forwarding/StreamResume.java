package org.zinniaspan.forwarding;

import java.util.Optional;

/**
 * A client's statement that its request resumes a stream that broke off.
 *
 * @param lastEventId id of the last event that the client received
 * @param firstAttemptId id of the client attempt that delivered the first event of the stream, if
 *     the client states it
 */
public record StreamResume(String lastEventId, Optional<String> firstAttemptId) {}
