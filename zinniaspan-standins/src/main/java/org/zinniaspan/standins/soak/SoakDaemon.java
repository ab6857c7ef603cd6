package org.zinniaspan.standins.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.zinniaspan.http.Addresses;
import org.zinniaspan.lifecycle.Closer;
import org.zinniaspan.standins.fleet.LocalFleet;
import org.zinniaspan.standins.site.LocalSite;

/**
 * A daemon that can be killed, stopped, paused and restarted, with its own proxies to the store and
 * to each endpoint.
 *
 * <p>The daemon reads the proxies' addresses from its own view of the store. Daemons of one zone
 * pass the list of endpoints on to each other, so each needs a zone of its own.
 */
final class SoakDaemon implements AutoCloseable {

  private static final long STOP_TIMEOUT_S = 6;
  private static final Pattern VERSION_METRIC =
      Pattern.compile("zinniaspan_configuration_version ([0-9]+)");

  private final LocalSite site;
  private final String name;
  private final String zone;
  private final Closer closer = new Closer();
  private final FaultInjectingProxy storeProxy;
  private final Map<String, FaultInjectingProxy> endpointProxies = new LinkedHashMap<>();
  private final List<String> versionViolations = new ArrayList<>();
  private final List<Long> versions = new ArrayList<>();
  private volatile LocalSite.DaemonProcess daemon;
  private int startCount;

  /** Starts a daemon that connects to the store and the endpoints through new proxies. */
  SoakDaemon(LocalSite site, String name, String zone) throws IOException {
    this.site = site;
    this.name = name;
    this.zone = zone;
    for (String id : site.endpoints().keySet()) {
      InetSocketAddress target = Addresses.parse(site.endpointAddress(id));
      endpointProxies.put(site.endpointAddress(id), closer.add(new FaultInjectingProxy(target)));
    }
    String view = site.store().addView(this::rewriteAddresses);
    this.storeProxy = closer.add(new FaultInjectingProxy(Addresses.parse(view)));
    start();
  }

  private String rewriteAddresses(String value) {
    String rewritten = value;
    for (Map.Entry<String, FaultInjectingProxy> entry : endpointProxies.entrySet()) {
      rewritten =
          rewritten.replace('"' + entry.getKey() + '"', '"' + entry.getValue().address() + '"');
    }
    return rewritten;
  }

  /** Sets the mode of the connections to all endpoints. */
  void setEndpointMode(FaultInjectingProxy.Mode mode) throws IOException {
    for (FaultInjectingProxy proxy : endpointProxies.values()) {
      proxy.setMode(mode);
    }
  }

  /** Returns the running process. */
  LocalSite.DaemonProcess process() {
    return daemon;
  }

  private synchronized void start() throws IOException {
    startCount++;
    versions.clear();
    daemon =
        site.startDaemon(
            name + '-' + startCount, zone, storeProxy.address(), LocalSite.LaunchOptions.smallVm());
  }

  FaultInjectingProxy storeProxy() {
    return storeProxy;
  }

  InetSocketAddress callerAddress() {
    return daemon.callerAddress();
  }

  /** Kills the process without a planned stop. */
  void kill() {
    daemon.process().kill();
  }

  /** Begins a planned stop. */
  void terminate() {
    daemon.process().terminate();
  }

  /** Suspends the process until {@link #resume}. */
  void pause() throws IOException {
    daemon.process().pause();
  }

  /** Resumes the suspended process. */
  void resume() throws IOException {
    daemon.process().resume();
  }

  /**
   * Starts a new process once the old one has exited; kills the old one if it exceeds the stop
   * timeout.
   */
  void restart() throws IOException {
    if (!daemon.process().awaitExit(STOP_TIMEOUT_S)) {
      daemon.process().kill();
    }
    start();
  }

  void awaitReady() {
    LocalSite.awaitReady(daemon);
  }

  /**
   * Reads the version of the adopted configuration from the metrics and checks that it does not go
   * back.
   */
  synchronized void sampleVersion() {
    Matcher found =
        VERSION_METRIC.matcher(LocalFleet.get(daemon.metricsAddress(), "/metrics").body());
    if (found.find()) {
      versions.add(Long.parseLong(found.group(1)));
      versionViolations.addAll(
          SoakChecks.versionViolations(
              daemon.name(), versions.subList(Math.max(0, versions.size() - 2), versions.size())));
    }
  }

  /** Returns a line for each time the configuration version went back within one process. */
  synchronized List<String> versionViolations() {
    return List.copyOf(versionViolations);
  }

  @Override
  public void close() {
    closer.close();
  }
}
