package org.zinniaspan.peer;

import java.util.EnumMap;
import java.util.Map;
import org.zinniaspan.peer.proto.Envelope;
import org.zinniaspan.peer.proto.Envelope.BodyCase;

/**
 * Passes each message to the handler registered for its body type; a message without a handler is
 * ignored.
 */
public final class PeerMessageRouter implements PeerHandler {

  private final Map<BodyCase, PeerHandler> handlers = new EnumMap<>(BodyCase.class);

  /** Registers the handler of the given body types; must be called before the first message. */
  public PeerMessageRouter register(PeerHandler handler, BodyCase... bodies) {
    for (BodyCase body : bodies) {
      handlers.put(body, handler);
    }
    return this;
  }

  @Override
  public void handle(Envelope message) {
    PeerHandler handler = handlers.get(message.getBodyCase());
    if (handler != null) {
      handler.handle(message);
    }
  }
}
