package org.zinniaspan.standins;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.zinniaspan.standins.caller.CallerClient;
import org.zinniaspan.standins.caller.CallerClient.ChatRequest;
import org.zinniaspan.standins.caller.CallerClient.ServiceRequest;
import org.zinniaspan.standins.caller.CallerResult;
import org.zinniaspan.standins.fleet.LocalFleet;

/** Callers behind a balancer that asks each VM every 100 ms whether it is ready. */
final class BalancedCallers implements AutoCloseable {

  private static final long CHECK_NANOS = 100_000_000;
  private static final int TRIES = 10;

  private final LocalFleet fleet;
  private final CallerClient caller = new CallerClient(LocalFleet.ORGANISATION_KEY);
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicInteger next = new AtomicInteger();
  private volatile List<InetSocketAddress> ready = List.of();
  private volatile boolean stopped;
  final AtomicInteger answered = new AtomicInteger();
  final AtomicInteger retried = new AtomicInteger();
  final Queue<String> lost = new ConcurrentLinkedQueue<>();

  BalancedCallers(LocalFleet fleet, int callers, String model) {
    this.fleet = fleet;
    check();
    run(this::balance);
    for (int i = 0; i < callers; i++) {
      boolean chats = i % 2 == 0;
      run(() -> call(chats, model));
    }
  }

  private void run(Runnable body) {
    Thread thread = new Thread(body);
    thread.start();
    threads.add(thread);
  }

  private void balance() {
    while (!stopped) {
      check();
      LockSupport.parkNanos(CHECK_NANOS);
    }
  }

  private void check() {
    ready =
        fleet.entries().values().stream()
            .filter(entry -> LocalFleet.get(entry.adminAddress(), "/readyz").status() == 200)
            .map(LocalFleet.EntryProcess::callerAddress)
            .toList();
  }

  private void call(boolean chats, String model) {
    while (!stopped) {
      String key = "key-" + next.incrementAndGet();
      CallerResult result = send(chats, model, key);
      for (int i = 0; i < TRIES && result.outcome().equals("not-run"); i++) {
        retried.incrementAndGet();
        LockSupport.parkNanos(CHECK_NANOS);
        result = send(chats, model, key);
      }
      if (result.isAnswered()) {
        answered.incrementAndGet();
      } else {
        lost.add(result.toString());
      }
    }
  }

  private CallerResult send(boolean chats, String model, String key) {
    List<InetSocketAddress> now = ready;
    InetSocketAddress entry = now.get(next.incrementAndGet() % now.size());
    return chats
        ? caller.chat(entry, new ChatRequest(model, "x #tokens=60", Optional.empty(), true))
        : caller.call(entry, new ServiceRequest("GET", "app/status", "", Optional.of(key)));
  }

  @Override
  public void close() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
  }
}
