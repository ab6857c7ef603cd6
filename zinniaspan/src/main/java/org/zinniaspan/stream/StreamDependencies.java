package org.zinniaspan.stream;

import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.configuration.Configuration;
import org.zinniaspan.dispatch.SlotService;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.Pool;
import org.zinniaspan.routing.OutputLengthEstimator;

/** Dependencies that all chat sessions of a process share. */
record StreamDependencies(
    SlotService slots,
    EngineClient engines,
    Supplier<Configuration> configuration,
    Function<Pool, List<Endpoint>> endpoints,
    Clock clock,
    SlotWait slotWait,
    RetryBudget budget,
    OutputLengthEstimator outputLengthEstimator,
    StreamSettings settings) {}
