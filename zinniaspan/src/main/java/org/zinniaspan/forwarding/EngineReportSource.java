package org.zinniaspan.forwarding;

import java.util.Optional;
import java.util.function.Consumer;
import org.zinniaspan.clock.Ticking;

/** Reads the reports of engines. */
public interface EngineReportSource extends Ticking {

  /** Asks an engine for its load; the reply comes once, and is empty if there was no answer. */
  void read(ListedEndpoint engine, Consumer<Optional<EngineReport>> reply);
}
