package org.zinniaspan.peer;

import org.zinniaspan.peer.proto.Envelope;

/** Handles messages from peer VMs, and from this VM to itself; must not block. */
@FunctionalInterface
public interface PeerHandler {

  /** Handles one message. */
  void handle(Envelope message);
}
