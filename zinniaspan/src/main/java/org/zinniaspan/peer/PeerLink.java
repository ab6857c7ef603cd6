package org.zinniaspan.peer;

import org.zinniaspan.peer.proto.Envelope;

/**
 * Sends messages to other VMs.
 *
 * <p>A message may be lost, delayed or overtaken; the sender is told nothing.
 */
@FunctionalInterface
public interface PeerLink {

  /** Sends a message to the VM of that name; sender fields are filled in here. */
  void send(String vm, Envelope.Builder message);
}
