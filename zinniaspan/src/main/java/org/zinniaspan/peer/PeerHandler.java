package org.zinniaspan.peer;

import org.zinniaspan.peer.proto.Envelope;

/** Receives messages of other VMs; must not block. */
@FunctionalInterface
public interface PeerHandler {

  /** Handles one message. */
  void handle(Envelope message);
}
