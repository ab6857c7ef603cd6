package org.zinniaspan.standins.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.zinniaspan.standins.fleet.LocalFleet;

/**
 * Round-robin balancer over the ready entry VMs, like the load balancer of the platform.
 *
 * <p>Polls the readiness of each VM every 200 ms. If none is ready, requests go to all of them.
 */
final class RoundRobinBalancer implements AutoCloseable {

  private static final long PROBE_PERIOD_MS = 200;
  private static final int HTTP_OK = 200;

  /**
   * An entry VM.
   *
   * @param callerAddress address for requests
   * @param adminAddress address of {@code /readyz}; if empty, the VM always counts as ready
   */
  record EntryVm(InetSocketAddress callerAddress, Optional<InetSocketAddress> adminAddress) {

    private boolean isReady() {
      return adminAddress
          .map(address -> LocalFleet.get(address, "/readyz").status() == HTTP_OK)
          .orElse(true);
    }
  }

  private final List<EntryVm> entryVms;
  private final AtomicInteger nextIndex = new AtomicInteger();
  private final ScheduledExecutorService probeExecutor =
      Executors.newSingleThreadScheduledExecutor();
  private volatile List<EntryVm> ready;

  RoundRobinBalancer(List<EntryVm> entryVms) {
    this.entryVms = List.copyOf(entryVms);
    this.ready = this.entryVms;
    probeExecutor.scheduleWithFixedDelay(
        this::probeReadiness, PROBE_PERIOD_MS, PROBE_PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  private void probeReadiness() {
    List<EntryVm> readyNow = entryVms.stream().filter(EntryVm::isReady).toList();
    ready = readyNow.isEmpty() ? entryVms : readyNow;
  }

  /** Returns the address of the next ready entry VM. */
  InetSocketAddress nextAddress() {
    List<EntryVm> current = ready;
    return current.get(Math.floorMod(nextIndex.getAndIncrement(), current.size())).callerAddress();
  }

  @Override
  public void close() {
    probeExecutor.shutdownNow();
  }
}
