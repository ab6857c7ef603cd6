package org.zinniaspan.peer;

import org.zinniaspan.peer.proto.Envelope;

/**
 * Sends messages to VMs without delivery guarantees.
 *
 * <p>A message may be lost, delayed or reordered; the sender isn't notified.
 */
@FunctionalInterface
public interface PeerLink {

  /** Sends a message to the named VM, after setting its sender fields. */
  void send(String vm, Envelope.Builder message);
}
