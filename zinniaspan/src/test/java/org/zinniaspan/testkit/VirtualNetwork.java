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
 * Carries messages between VMs of a test on a virtual clock, and injects faults.
 *
 * <p>Messages may be lost, delayed, doubled and overtaken. A VM can be killed, paused and cut off
 * from single others. All runs on the caller's thread, in {@link #advance}.
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

  /** Sets the shares of messages that are lost and doubled. */
  public VirtualNetwork setFaultRates(double newLossRate, double newDuplicateRate) {
    lossRate = newLossRate;
    duplicateRate = newDuplicateRate;
    return this;
  }

  /** Sets the bounds of the delay of a message, in milliseconds. */
  public VirtualNetwork setDelays(long minMs, long maxMs) {
    minDelayMs = minMs;
    maxDelayMs = maxMs;
    return this;
  }

  /** Returns the link by which a process of a VM sends. */
  public PeerLink link(String vm, long incarnation) {
    return (to, message) ->
        send(vm, to, message.setFromVm(vm).setFromIncarnation(incarnation).build());
  }

  /** Starts a process of a VM, and replaces an earlier one. */
  public void start(String vm, long incarnation, PeerHandler handler, Ticking ticking) {
    nodes.put(vm, new Node(incarnation, handler));
    scheduleTick(vm, incarnation, ticking);
  }

  /** Ends the process of a VM. */
  public void kill(String vm) {
    nodes.remove(vm);
  }

  /** Returns whether a process of the VM runs, paused or not. */
  public boolean isRunning(String vm) {
    return nodes.containsKey(vm);
  }

  /** Stops a process; what reaches it waits until it goes on. */
  public void pause(String vm) {
    Node node = nodes.get(vm);
    if (node != null) {
      node.paused = true;
    }
  }

  /** Lets a paused process go on. */
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

  /** Cuts two VMs off from each other. */
  public void partition(String a, String b) {
    partitionedLinks.add(new DirectedLink(a, b));
    partitionedLinks.add(new DirectedLink(b, a));
  }

  /** Ends all cuts. */
  public void healPartitions() {
    partitionedLinks.clear();
  }

  /** Runs an action for a VM's process after a delay, unless the process has ended by then. */
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

  /** Runs all events of the next milliseconds in order of time. */
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
