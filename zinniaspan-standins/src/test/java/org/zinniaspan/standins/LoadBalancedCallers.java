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

/** Callers behind a load balancer that polls the readiness check of each VM every 100 ms. */
final class LoadBalancedCallers implements AutoCloseable {

  private static final long READINESS_CHECK_INTERVAL_NANOS = 100_000_000;
  private static final int MAX_RETRIES = 10;

  private final LocalFleet fleet;
  private final CallerClient caller = new CallerClient(LocalFleet.ORGANISATION_KEY);
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicInteger sequence = new AtomicInteger();
  private volatile List<InetSocketAddress> readyEntries = List.of();
  private volatile boolean stopped;
  final AtomicInteger answeredCount = new AtomicInteger();
  final AtomicInteger retryCount = new AtomicInteger();
  final Queue<String> failedResults = new ConcurrentLinkedQueue<>();

  LoadBalancedCallers(LocalFleet fleet, int callers, String model) {
    this.fleet = fleet;
    refreshReadyEntries();
    startThread(this::pollReadiness);
    for (int i = 0; i < callers; i++) {
      boolean chats = i % 2 == 0;
      startThread(() -> sendRequests(chats, model));
    }
  }

  private void startThread(Runnable body) {
    Thread thread = new Thread(body);
    thread.start();
    threads.add(thread);
  }

  private void pollReadiness() {
    while (!stopped) {
      refreshReadyEntries();
      LockSupport.parkNanos(READINESS_CHECK_INTERVAL_NANOS);
    }
  }

  private void refreshReadyEntries() {
    readyEntries =
        fleet.entries().values().stream()
            .filter(entry -> LocalFleet.get(entry.adminAddress(), "/readyz").status() == 200)
            .map(LocalFleet.EntryProcess::callerAddress)
            .toList();
  }

  private void sendRequests(boolean chats, String model) {
    while (!stopped) {
      String key = "key-" + sequence.incrementAndGet();
      CallerResult result = send(chats, model, key);
      for (int i = 0; i < MAX_RETRIES && result.outcome().equals("not-run"); i++) {
        retryCount.incrementAndGet();
        LockSupport.parkNanos(READINESS_CHECK_INTERVAL_NANOS);
        result = send(chats, model, key);
      }
      if (result.isAnswered()) {
        answeredCount.incrementAndGet();
      } else {
        failedResults.add(result.toString());
      }
    }
  }

  private CallerResult send(boolean chats, String model, String key) {
    List<InetSocketAddress> entries = readyEntries;
    InetSocketAddress entry = entries.get(sequence.incrementAndGet() % entries.size());
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
