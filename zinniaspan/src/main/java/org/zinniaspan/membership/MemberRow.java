package org.zinniaspan.membership;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;
import org.zinniaspan.peer.proto.MemberEntry;

/** What this process knows of one process of another VM; guarded by the lock of its table. */
final class MemberRow {

  private final String vm;
  private final long incarnation;
  private final int digestKey;
  private long heartbeatCounter;
  private boolean leaving;
  private String address;
  private long lastIncreaseMs;
  private long changedMs;

  MemberRow(MemberEntry entry, long lastIncreaseMs, long nowMs) {
    this.vm = entry.getVm();
    this.incarnation = entry.getIncarnation();
    this.digestKey = hash(vm, incarnation);
    this.heartbeatCounter = entry.getHeartbeat();
    this.leaving = entry.getLeaving();
    this.address = entry.getAddress();
    this.lastIncreaseMs = lastIncreaseMs;
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

  int digestKey() {
    return digestKey;
  }

  long heartbeatCounter() {
    return heartbeatCounter;
  }

  String address() {
    return address;
  }

  long lastIncreaseMs() {
    return lastIncreaseMs;
  }

  long changedMs() {
    return changedMs;
  }

  boolean isLive(long nowMs, long deadAfterMs) {
    return nowMs - lastIncreaseMs <= deadAfterMs;
  }

  void restartTimeout(long nowMs) {
    lastIncreaseMs = nowMs;
  }

  void increaseCounter(long counter, long nowMs) {
    if (counter > heartbeatCounter) {
      heartbeatCounter = counter;
      lastIncreaseMs = nowMs;
    }
  }

  /** Takes over what an entry of the same incarnation says. */
  void update(MemberEntry entry, long nowMs) {
    increaseCounter(entry.getHeartbeat(), nowMs);
    address = entry.getAddress();
    if (entry.getLeaving() && !leaving) {
      leaving = true;
      changedMs = nowMs;
    }
  }

  MemberEntry toEntry() {
    return MemberEntry.newBuilder()
        .setVm(vm)
        .setIncarnation(incarnation)
        .setHeartbeat(heartbeatCounter)
        .setLeaving(leaving)
        .setAddress(address)
        .build();
  }

  Member toMember(boolean listedLeaving) {
    return new Member(vm, incarnation, address, leaving || listedLeaving);
  }
}
