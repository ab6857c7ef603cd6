package org.zinniaspan.configuration;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import org.zinniaspan.membership.GossipMembership;
import org.zinniaspan.membership.GossipSettings;
import org.zinniaspan.membership.Member;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.testkit.VirtualClock;
import org.zinniaspan.testkit.VirtualNetwork;

/**
 * Simulates VMs of two availability zones with membership and configuration feed, and records
 * violations of invariants while they run.
 */
final class FeedFleet {

  static final List<String> ZONES = List.of("a", "b");

  /** One process of a VM. */
  record Vm(
      String name,
      String zone,
      ConfigurationStore store,
      GossipMembership membership,
      ConfigurationFeed feed) {

    long revision(DocumentName name) {
      return store.current().revision(name);
    }
  }

  final VirtualClock clock = new VirtualClock(1_000_000);
  final VirtualNetwork network;
  final FakePlatform platform = new FakePlatform();
  final Map<String, Vm> vms = new LinkedHashMap<>();
  final List<String> violations = new ArrayList<>();
  private final Random random;
  private final Map<String, String> zones = new LinkedHashMap<>();
  private long incarnation;
  long remoteBytes;

  FeedFleet(int inA, int inB, long seed) {
    network = new VirtualNetwork(clock, seed);
    random = new Random(seed);
    platform.publish(DocumentName.INVENTORY, "{}", true);
    platform.publish(DocumentName.ORGANISATIONS, "[]", true);
    publishRules(10);
    addNames("a", inA);
    addNames("b", inB);
    publishVms();
    List.copyOf(zones.keySet()).forEach(this::start);
  }

  private void addNames(String zone, int count) {
    for (int i = 1; i <= count; i++) {
      zones.put(zone + "-" + i, zone);
    }
  }

  List<String> names() {
    return List.copyOf(zones.keySet());
  }

  /** Publishes valid rules that contain a random path of about the given length. */
  long publishRules(int bytes) {
    StringBuilder path = new StringBuilder("/");
    while (path.length() < bytes) {
      path.append(Long.toString(random.nextLong() >>> 1, 36));
    }
    String json =
        "{\"classes\":[{\"name\":\"a\",\"tier\":1,\"firstTokenTargetMs\":100}],"
            + "\"assign\":[{\"pathPrefix\":\""
            + path
            + "\",\"serviceClass\":\"a\"}]}";
    return platform.publish(DocumentName.RULES, json, true);
  }

  void publishVms() {
    String rows =
        zones.entrySet().stream()
            .map(
                vm ->
                    String.format(
                        "{\"name\":\"%s\",\"zone\":\"%s\",\"role\":\"entry\",\"state\":\"live\","
                            + "\"address\":\"10.0.0.1:8081\"}",
                        vm.getKey(), vm.getValue()))
            .collect(Collectors.joining(","));
    platform.publish(DocumentName.VMS, "{\"asOfMs\":1,\"vms\":[" + rows + "]}", true);
  }

  /** Starts a new process of the VM, with an empty store. */
  Vm start(String name) {
    String zone = zones.computeIfAbsent(name, vm -> vm.substring(0, 1));
    long started = clock.nowMs() + ++incarnation;
    ConfigurationStore store = new ConfigurationStore();
    checkAdoptions(name, store);
    GossipMembership membership =
        new GossipMembership(
            new Member(name, started, "10.0.0.1:8081", false),
            zone,
            GossipSettings.withSeed(3),
            () -> store.current().vms(),
            clock);
    PeerLink link = countingRemoteBytes(zone, network.link(name, started));
    ConfigurationFeed feed =
        new FeedDependencies(
                store,
                platform.client(name, zone, network, clock),
                membership,
                zone,
                link,
                Runnable::run,
                FeedSettings.withSeed(3),
                clock)
            .createFeed();
    membership.connect(link, feed::addToHeartbeat);
    network.start(
        name,
        started,
        message -> {
          if (message.hasHeartbeat()) {
            membership.handle(message);
          }
          feed.handle(message);
        },
        () -> {
          membership.tick();
          feed.tick();
        });
    Vm vm = new Vm(name, zone, store, membership, feed);
    vms.put(name, vm);
    return vm;
  }

  private PeerLink countingRemoteBytes(String zone, PeerLink link) {
    return (to, message) -> {
      if (!zone.equals(zones.get(to))) {
        remoteBytes += message.build().getSerializedSize() + 60;
      }
      link.send(to, message);
    };
  }

  private void checkAdoptions(String name, ConfigurationStore store) {
    Map<DocumentName, Long> last = new EnumMap<>(DocumentName.class);
    store.addListener(
        configuration ->
            configuration
                .revisions()
                .forEach(
                    (document, revision) -> {
                      long before = last.getOrDefault(document, 0L);
                      last.put(document, revision);
                      if (revision < before) {
                        violations.add(
                            name + " decreased its revision from " + before + " to " + revision);
                      }
                      if (!platform.isPublished(store.document(document).orElseThrow())) {
                        violations.add(
                            name
                                + " has content other than that published at revision "
                                + revision);
                      }
                    }));
  }

  void kill(String name) {
    network.kill(name);
    vms.remove(name);
  }

  List<Vm> ofZone(String zone) {
    return vms.values().stream().filter(vm -> vm.zone().equals(zone)).toList();
  }

  /**
   * Returns whether all VMs have the newest revision of the document, or all the same one if the
   * newest is invalid.
   */
  boolean isInForce(DocumentName name) {
    long highest = vms.values().stream().mapToLong(vm -> vm.revision(name)).max().orElse(0);
    long wanted = platform.newest(name).map(Document::revision).orElse(highest);
    return vms.values().stream().allMatch(vm -> vm.revision(name) == wanted);
  }

  boolean isInForce() {
    return List.of(DocumentName.values()).stream().allMatch(this::isInForce);
  }

  boolean viewsAgree() {
    return vms.values().stream()
        .allMatch(
            vm -> {
              List<String> seen = vm.membership().live().stream().map(Member::vm).toList();
              return seen.equals(ofZone(vm.zone()).stream().map(Vm::name).sorted().toList());
            });
  }

  /** Returns the milliseconds until the condition holds, or the limit. */
  long until(java.util.function.BooleanSupplier condition, long limitMs) {
    long start = clock.nowMs();
    while (!condition.getAsBoolean() && clock.nowMs() - start < limitMs) {
      network.advance(10);
    }
    return clock.nowMs() - start;
  }

  String state() {
    return vms.values().stream()
        .map(vm -> vm.name() + " " + vm.store().current().revisions())
        .collect(Collectors.joining("; "));
  }
}
