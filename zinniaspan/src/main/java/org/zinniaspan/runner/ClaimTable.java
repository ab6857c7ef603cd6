package org.zinniaspan.runner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.zinniaspan.peer.proto.HeldClaim;

/**
 * Claims that one voter has accepted or learnt from other voters; bounded by count and by age.
 *
 * <p>Not thread-safe. After a merge a key may have several holders; then every claim of that key is
 * rejected.
 */
final class ClaimTable {

  /** An attempt that claims or holds a key, and the process that makes the attempt. */
  record Claimant(String attemptId, String vm, long incarnation) {}

  /** Decision of the voter on one claim. */
  enum Decision {
    ACCEPTED,
    ACCEPTED_NOT_RUN,
    HELD,
    FULL
  }

  private static final class Entry {
    private final List<Claimant> holders = new ArrayList<>(1);
    private long lastClaimMs;
    private long blockedUntilMs;

    Entry(long lastClaimMs) {
      this.lastClaimMs = lastClaimMs;
    }

    private void addHolder(Claimant holder) {
      if (!holders.contains(holder)) {
        holders.add(holder);
      }
    }
  }

  private final Map<String, Entry> entries = new HashMap<>();
  private final long horizonMs;
  private final int maxClaims;

  ClaimTable(long horizonMs, int maxClaims) {
    this.horizonMs = horizonMs;
    this.maxClaims = maxClaims;
  }

  /** Decides on a claim, and stores it if it is accepted. */
  Decision claim(String key, Claimant claimant, long nowMs) {
    Entry entry = entries.get(key);
    if (entry == null && entries.size() >= maxClaims) {
      return Decision.FULL;
    }
    if (entry == null) {
      entry = new Entry(nowMs);
      entries.put(key, entry);
    }
    if (otherHolder(entry, claimant.attemptId()).isPresent()) {
      return Decision.HELD;
    }
    entry.addHolder(claimant);
    entry.lastClaimMs = nowMs;
    return nowMs < entry.blockedUntilMs ? Decision.ACCEPTED_NOT_RUN : Decision.ACCEPTED;
  }

  /** Returns a holder of the key other than the given attempt, empty if there is none. */
  Optional<Claimant> otherHolder(String key, String attemptId) {
    return Optional.ofNullable(entries.get(key)).flatMap(entry -> otherHolder(entry, attemptId));
  }

  private static Optional<Claimant> otherHolder(Entry entry, String attemptId) {
    return entry.holders.stream()
        .filter(holder -> !holder.attemptId().equals(attemptId))
        .findFirst();
  }

  /**
   * Removes a holder of a key; if {@code blockMs} is above 0, no attempt may run the call for that
   * many milliseconds.
   */
  void release(String key, String attemptId, long blockMs, long nowMs) {
    Entry entry = entries.get(key);
    if (entry == null) {
      return;
    }
    boolean held = entry.holders.removeIf(holder -> holder.attemptId().equals(attemptId));
    if (held && blockMs > 0) {
      entry.blockedUntilMs = Math.max(entry.blockedUntilMs, nowMs + blockMs);
    }
    if (entry.holders.isEmpty() && entry.blockedUntilMs <= nowMs) {
      entries.remove(key);
    }
  }

  /** Removes keys without a holder or older than the retry horizon, unless they are blocked. */
  void expire(long nowMs) {
    entries.values().removeIf(entry -> isExpired(entry, nowMs));
  }

  private boolean isExpired(Entry entry, long nowMs) {
    boolean blocked = nowMs < entry.blockedUntilMs;
    return !blocked && (entry.holders.isEmpty() || nowMs - entry.lastClaimMs > horizonMs);
  }

  /** Returns all claims as protocol messages for another voter. */
  List<HeldClaim> snapshot(long nowMs) {
    List<HeldClaim> claims = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          HeldClaim.Builder claim =
              HeldClaim.newBuilder()
                  .setKey(key)
                  .setAgeMs(nowMs - entry.lastClaimMs)
                  .setBlockMs(Math.max(0, entry.blockedUntilMs - nowMs));
          if (entry.holders.isEmpty()) {
            claims.add(claim.build());
          }
          for (Claimant holder : entry.holders) {
            claims.add(
                claim
                    .setAttemptId(holder.attemptId())
                    .setVm(holder.vm())
                    .setIncarnation(holder.incarnation())
                    .build());
          }
        });
    return claims;
  }

  /** Adds the claims of another voter; stops and returns false when the limit is reached. */
  boolean merge(List<HeldClaim> claims, long nowMs) {
    for (HeldClaim claim : claims) {
      if (!entries.containsKey(claim.getKey()) && entries.size() >= maxClaims) {
        return false;
      }
      merge(claim, nowMs);
    }
    return true;
  }

  private void merge(HeldClaim claim, long nowMs) {
    long lastClaimMs = nowMs - claim.getAgeMs();
    Entry entry = entries.computeIfAbsent(claim.getKey(), key -> new Entry(lastClaimMs));
    entry.lastClaimMs = Math.max(entry.lastClaimMs, lastClaimMs);
    entry.blockedUntilMs = Math.max(entry.blockedUntilMs, nowMs + claim.getBlockMs());
    if (!claim.getAttemptId().isEmpty()) {
      entry.addHolder(new Claimant(claim.getAttemptId(), claim.getVm(), claim.getIncarnation()));
    }
  }

  int size() {
    return entries.size();
  }
}
