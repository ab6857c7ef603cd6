package org.zinniaspan.proxy;

import org.zinniaspan.http.Addresses;
import org.zinniaspan.peer.proto.FleetMember;
import org.zinniaspan.peer.proto.FleetMembers;

/** Drops the members whose address has not the form of one, as they could not be called. */
final class PeerAddresses {

  private PeerAddresses() {}

  /** Returns a message without such members; a sender with such an address has none. */
  static FleetMembers valid(FleetMembers message) {
    FleetMembers.Builder valid = message.toBuilder().clearMembers();
    message.getMembersList().stream().filter(PeerAddresses::isValid).forEach(valid::addMembers);
    if (!isValid(message.getSender())) {
      valid.getSenderBuilder().clearAddress();
    }
    return valid.build();
  }

  private static boolean isValid(FleetMember member) {
    return Addresses.isValid(member.getAddress());
  }
}
