package org.zinniaspan.membership;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;
import org.zinniaspan.peer.proto.MemberEntry;

/** What this process knows of one process of another VM; guarded by the lock of its table. */
final class MemberRow {

  private final String vm;
  private final long incarnation;
  private final int key;
  private long heartbeat;
  private boolean leaving;
  private String address;
  private long roseMs;
  private long changedMs;

  MemberRow(MemberEntry entry, long roseMs, long nowMs) {
    this.vm = entry.getVm();
    this.incarnation = entry.getIncarnation();
    this.key = hash(vm, incarnation);
    this.heartbeat = entry.getHeartbeat();
    this.leaving = entry.getLeaving();
    this.address = entry.getAddress();
    this.roseMs = roseMs;
    this.changedMs = nowMs;
  }

  private static int hash(String vm, long incarnation) {
    byte[] bytes = (vm + '\n' + incarnation).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash32x86(bytes);
  }

  String vm() {
    return vm;
  }

  long incarnation() {
    return incarnation;
  }

  int key() {
    return key;
  }

  long heartbeat() {
    return heartbeat;
  }

  String address() {
    return address;
  }

  long roseMs() {
    return roseMs;
  }

  long changedMs() {
    return changedMs;
  }

  boolean isLive(long nowMs, long deadAfterMs) {
    return nowMs - roseMs <= deadAfterMs;
  }

  void renew(long nowMs) {
    roseMs = nowMs;
  }

  void rise(long counter, long nowMs) {
    if (counter > heartbeat) {
      heartbeat = counter;
      roseMs = nowMs;
    }
  }

  /** Takes over what an entry of the same incarnation says. */
  void update(MemberEntry entry, long nowMs) {
    rise(entry.getHeartbeat(), nowMs);
    address = entry.getAddress();
    if (entry.getLeaving() && !leaving) {
      leaving = true;
      changedMs = nowMs;
    }
  }

  MemberEntry entry() {
    return MemberEntry.newBuilder()
        .setVm(vm)
        .setIncarnation(incarnation)
        .setHeartbeat(heartbeat)
        .setLeaving(leaving)
        .setAddress(address)
        .build();
  }

  Member member(boolean listedLeaving) {
    return new Member(vm, incarnation, address, leaving || listedLeaving);
  }
}
