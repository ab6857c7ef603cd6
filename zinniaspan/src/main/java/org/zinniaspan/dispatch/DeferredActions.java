package org.zinniaspan.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.peer.proto.Envelope;

/** Messages and callbacks that result from an event and run once no lock is held. */
final class DeferredActions {

  private final List<OutgoingMessage> messages = new ArrayList<>();
  private final List<Runnable> callbacks = new ArrayList<>();

  void addMessage(String vm, Envelope.Builder message) {
    messages.add(new OutgoingMessage(vm, message));
  }

  void addCallback(Runnable callback) {
    callbacks.add(callback);
  }

  void run(PeerLink link) {
    messages.forEach(outgoing -> link.send(outgoing.vm(), outgoing.message()));
    callbacks.forEach(Runnable::run);
  }
}
