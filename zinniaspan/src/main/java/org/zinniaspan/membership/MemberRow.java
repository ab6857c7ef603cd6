package org.zinniaspan.membership;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;
import org.zinniaspan.peer.proto.MemberEntry;

/**
 * State of one process of another VM in a {@link MemberTable}; guarded by the lock of the table's
 * owner.
 */
final class MemberRow {

  private final String vm;
  private final long incarnation;
  private final int digestKey;
  private long heartbeatCounter;
  private boolean leaving;
  private String address;
  private long lastIncreaseMs;
  private long changedMs;

  /**
   * Creates the state of a process from the first entry received for it.
   *
   * @param entry the entry
   * @param lastIncreaseMs time at which the heartbeat counter is taken to have last increased
   * @param nowMs present time, recorded as the time of the last change
   */
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

  /** Returns the hash of name and incarnation that identifies this process in digests. */
  int digestKey() {
    return digestKey;
  }

  long heartbeatCounter() {
    return heartbeatCounter;
  }

  String address() {
    return address;
  }

  /** Returns when the heartbeat counter last increased, or when the timeout was restarted. */
  long lastIncreaseMs() {
    return lastIncreaseMs;
  }

  /** Returns when this state was created or the process was first reported as leaving. */
  long changedMs() {
    return changedMs;
  }

  boolean isLive(long nowMs, long deadAfterMs) {
    return nowMs - lastIncreaseMs <= deadAfterMs;
  }

  /** Restarts the failure timeout without an increase of the counter. */
  void restartTimeout(long nowMs) {
    lastIncreaseMs = nowMs;
  }

  /** Takes over a received counter and restarts the failure timeout, if the counter is higher. */
  void increaseCounter(long counter, long nowMs) {
    if (counter > heartbeatCounter) {
      heartbeatCounter = counter;
      lastIncreaseMs = nowMs;
    }
  }

  /** Applies an entry of the same incarnation. */
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
