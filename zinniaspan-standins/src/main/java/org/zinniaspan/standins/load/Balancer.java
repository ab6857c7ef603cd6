package org.zinniaspan.standins.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.zinniaspan.standins.fleet.LocalFleet;

/** Hands requests to the ready entry VMs in turn, as the platform's balancer does. */
final class Balancer implements AutoCloseable {

  private static final long PROBE_PERIOD_MS = 200;
  private static final int OK = 200;

  /**
   * An entry VM.
   *
   * @param callers where requests go
   * @param admin where readiness is asked, empty if it is always taken as ready
   */
  record Target(InetSocketAddress callers, Optional<InetSocketAddress> admin) {

    private boolean isReady() {
      return admin.map(address -> LocalFleet.get(address, "/readyz").status() == OK).orElse(true);
    }
  }

  private final List<Target> targets;
  private final AtomicInteger next = new AtomicInteger();
  private final ScheduledExecutorService probes = Executors.newSingleThreadScheduledExecutor();
  private volatile List<Target> ready;

  Balancer(List<Target> targets) {
    this.targets = List.copyOf(targets);
    this.ready = this.targets;
    probes.scheduleWithFixedDelay(
        this::probe, PROBE_PERIOD_MS, PROBE_PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  private void probe() {
    List<Target> now = targets.stream().filter(Target::isReady).toList();
    ready = now.isEmpty() ? targets : now;
  }

  InetSocketAddress pick() {
    List<Target> now = ready;
    return now.get(Math.floorMod(next.getAndIncrement(), now.size())).callers();
  }

  @Override
  public void close() {
    probes.shutdownNow();
  }
}
