package org.zinniaspan.dispatch;

import org.zinniaspan.peer.proto.Envelope;

/** A message to a VM, sent once no lock is held. */
record OutgoingMessage(String vm, Envelope.Builder message) {}
