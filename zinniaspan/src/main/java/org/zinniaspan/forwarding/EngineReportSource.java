package org.zinniaspan.forwarding;

import java.util.Optional;
import java.util.function.Consumer;
import org.zinniaspan.clock.Ticking;

/** Asynchronous source of the load reports of engines. */
public interface EngineReportSource extends Ticking {

  /**
   * Requests an engine's load report. The callback is invoked once, with an empty value if the
   * engine gave no valid response.
   */
  void read(ListedEndpoint engine, Consumer<Optional<EngineReport>> callback);
}
