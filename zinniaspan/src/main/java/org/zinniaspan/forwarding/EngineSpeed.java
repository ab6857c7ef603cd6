package org.zinniaspan.forwarding;

/** How fast the endpoints of one service work; all times are in milliseconds. */
public interface EngineSpeed {

  /** Returns the time that an engine takes to prefill a number of prompt tokens. */
  double prefillMs(double tokens);

  /** Returns the time from the end of the prefill to the arrival of the first event. */
  double firstEventMs();

  /** Returns the time that an engine's batch spends on one output token of one stream. */
  double outputTokenMs();

  /** Returns the time for which a stream occupies its slot. */
  double streamSlotMs();

  /** Returns the time that a plain endpoint takes for one request. */
  double plainCallMs();
}
