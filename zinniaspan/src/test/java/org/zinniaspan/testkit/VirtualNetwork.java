package org.zinniaspan.testkit;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.zinniaspan.clock.Ticking;
import org.zinniaspan.peer.PeerHandler;
import org.zinniaspan.peer.PeerLink;
import org.zinniaspan.peer.proto.Envelope;

/**
 * Simulates a network between the VMs of a test on a virtual clock, with fault injection.
 *
 * <p>Messages can be lost, delayed, duplicated and reordered. A VM can be killed, paused and
 * partitioned from individual others. Scheduled work runs on the caller's thread, in {@link
 * #advance}; {@link #resume} runs the work deferred by a pause.
 */
public final class VirtualNetwork {

  private static final long TICK_MS = 50;

  private record Event(long timeMs, long sequence, String vm, long incarnation, Runnable action) {}

  private static final class Node {
    private final long incarnation;
    private final PeerHandler handler;
    private final Deque<Runnable> deferredActions = new ArrayDeque<>();
    private boolean paused;

    Node(long incarnation, PeerHandler handler) {
      this.incarnation = incarnation;
      this.handler = handler;
    }
  }

  private record DirectedLink(String from, String to) {}

  private final VirtualClock clock;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::timeMs).thenComparingLong(Event::sequence));
  private final Map<String, Node> nodes = new HashMap<>();
  private final Set<DirectedLink> partitionedLinks = new HashSet<>();
  private double lossRate;
  private double duplicateRate;
  private long minDelayMs = 1;
  private long maxDelayMs = 3;
  private long nextSequence;
  private long deliveredMessages;

  /** Creates a network without faults. */
  public VirtualNetwork(VirtualClock clock, long seed) {
    this.clock = clock;
    this.random = new Random(seed);
  }

  /** Sets the fractions of messages that are lost and duplicated, from 0 to 1. */
  public VirtualNetwork setFaultRates(double newLossRate, double newDuplicateRate) {
    lossRate = newLossRate;
    duplicateRate = newDuplicateRate;
    return this;
  }

  /** Sets the bounds of the delivery delay, in milliseconds. */
  public VirtualNetwork setDelays(long minMs, long maxMs) {
    minDelayMs = minMs;
    maxDelayMs = maxMs;
    return this;
  }

  /** Returns the link through which a process of a VM sends messages. */
  public PeerLink link(String vm, long incarnation) {
    return (to, message) ->
        send(vm, to, message.setFromVm(vm).setFromIncarnation(incarnation).build());
  }

  /** Starts a process of a VM, replacing an earlier one, and schedules its ticks. */
  public void start(String vm, long incarnation, PeerHandler handler, Ticking ticking) {
    nodes.put(vm, new Node(incarnation, handler));
    scheduleTick(vm, incarnation, ticking);
  }

  /** Ends the process of a VM; its pending events are dropped. */
  public void kill(String vm) {
    nodes.remove(vm);
  }

  /** Returns whether a process of the VM is running or paused. */
  public boolean isRunning(String vm) {
    return nodes.containsKey(vm);
  }

  /** Pauses a process; messages and other events for it are deferred until it resumes. */
  public void pause(String vm) {
    Node node = nodes.get(vm);
    if (node != null) {
      node.paused = true;
    }
  }

  /** Resumes a paused process and runs its deferred events. */
  public void resume(String vm) {
    Node node = nodes.get(vm);
    if (node == null || !node.paused) {
      return;
    }
    node.paused = false;
    while (!node.deferredActions.isEmpty()) {
      node.deferredActions.poll().run();
    }
  }

  /** Drops messages sent between two VMs from now on, in both directions. */
  public void partition(String a, String b) {
    partitionedLinks.add(new DirectedLink(a, b));
    partitionedLinks.add(new DirectedLink(b, a));
  }

  /** Removes all partitions. */
  public void healPartitions() {
    partitionedLinks.clear();
  }

  /**
   * Schedules an action of a VM's process after a delay in milliseconds; it is dropped if the
   * process ends first.
   */
  public void schedule(String vm, long delayMs, Runnable action) {
    Node node = nodes.get(vm);
    if (node != null) {
      addEvent(delayMs, vm, node.incarnation, action);
    }
  }

  /** Returns the number of messages delivered so far. */
  public long deliveredMessages() {
    return deliveredMessages;
  }

  /** Advances the clock by the given milliseconds, running the events on the way in time order. */
  public void advance(long ms) {
    long endMs = clock.nowMs() + ms;
    while (!events.isEmpty() && events.peek().timeMs() <= endMs) {
      Event event = events.poll();
      clock.set(event.timeMs());
      run(event);
    }
    clock.set(endMs);
  }

  private void run(Event event) {
    Node node = nodes.get(event.vm());
    if (node == null || node.incarnation != event.incarnation()) {
      return;
    }
    if (node.paused) {
      node.deferredActions.add(event.action());
    } else {
      event.action().run();
    }
  }

  private void scheduleTick(String vm, long incarnation, Ticking ticking) {
    addEvent(
        TICK_MS,
        vm,
        incarnation,
        () -> {
          ticking.tick();
          scheduleTick(vm, incarnation, ticking);
        });
  }

  private void send(String from, String to, Envelope message) {
    int copies = random.nextDouble() < duplicateRate ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextDouble() >= lossRate) {
        scheduleDelivery(from, to, message);
      }
    }
  }

  private void scheduleDelivery(String from, String to, Envelope message) {
    long delayMs = minDelayMs + (long) (random.nextDouble() * (maxDelayMs - minDelayMs + 1));
    Node node = nodes.get(to);
    if (node == null || partitionedLinks.contains(new DirectedLink(from, to))) {
      return;
    }
    addEvent(
        delayMs,
        to,
        node.incarnation,
        () -> {
          deliveredMessages++;
          node.handler.handle(message);
        });
  }

  private void addEvent(long delayMs, String vm, long incarnation, Runnable action) {
    events.add(new Event(clock.nowMs() + delayMs, nextSequence++, vm, incarnation, action));
  }
}
