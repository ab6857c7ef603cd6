package org.zinniaspan.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.peer.proto.Envelope;

/** What follows from an event, to be done once no lock is held. */
final class Effects {

  private final List<Outgoing> messages = new ArrayList<>();
  private final List<Runnable> callbacks = new ArrayList<>();

  void send(String vm, Envelope.Builder message) {
    messages.add(new Outgoing(vm, message));
  }

  void call(Runnable callback) {
    callbacks.add(callback);
  }

  void run(PeerLink link) {
    messages.forEach(outgoing -> link.send(outgoing.vm(), outgoing.message()));
    callbacks.forEach(Runnable::run);
  }
}
