package org.zinniaspan.peer;

import org.zinniaspan.peer.proto.Envelope;

/**
 * Sends messages to VMs without delivery guarantees.
 *
 * <p>A message may be lost, delayed or reordered; the sender isn't notified.
 */
@FunctionalInterface
public interface PeerLink {

  /** Sets the sender fields of a message and sends it to the named VM. */
  void send(String vm, Envelope.Builder message);
}
