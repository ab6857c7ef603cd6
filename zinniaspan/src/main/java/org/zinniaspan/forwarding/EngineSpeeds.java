package org.zinniaspan.forwarding;

import java.util.HashMap;
import java.util.Map;

/** The measured speed of each service's endpoints, by the service's name. Not thread-safe. */
public final class EngineSpeeds {

  private final Map<String, MeasuredEngineSpeed> byService = new HashMap<>();

  /** Returns the speed of a service's endpoints; it starts from priors on first use. */
  public MeasuredEngineSpeed of(String service) {
    return byService.computeIfAbsent(service, name -> new MeasuredEngineSpeed());
  }
}
