package org.zinniaspan.forwarding;

/** A value with exponential decay: it halves in each half-life. */
final class DecayingValue {

  private final double halfLifeMs;
  private double value;
  private long atMs;

  DecayingValue(double halfLifeMs) {
    this.halfLifeMs = halfLifeMs;
  }

  double at(long nowMs) {
    return value * Math.pow(0.5, Math.max(0, nowMs - atMs) / halfLifeMs);
  }

  void add(double amount, long nowMs) {
    set(at(nowMs) + amount, nowMs);
  }

  void set(double newValue, long nowMs) {
    value = newValue;
    atMs = nowMs;
  }
}
