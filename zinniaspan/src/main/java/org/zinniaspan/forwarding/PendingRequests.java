package org.zinniaspan.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.zinniaspan.clock.Clock;
import org.zinniaspan.clock.Ticking;

/** Requests that wait for calls to the platform, and fail after a time. Not thread-safe. */
final class PendingRequests implements Ticking {

  /** A request; its callback receives whether it was served. */
  record Request(long requestedMs, Consumer<Boolean> callback) {}

  private final Clock clock;
  private final long timeoutMs;
  private final List<Request> requests = new ArrayList<>();

  PendingRequests(Clock clock, long timeoutMs) {
    this.clock = clock;
    this.timeoutMs = timeoutMs;
  }

  /** Adds a request; the callback is called exactly once. */
  void add(Consumer<Boolean> callback) {
    requests.add(new Request(clock.nowMs(), callback));
  }

  /** Returns the requests that wait now. */
  List<Request> all() {
    return List.copyOf(requests);
  }

  /** Ends those of some requests that have not timed out. */
  void end(List<Request> served, boolean success) {
    List<Request> waiting = served.stream().filter(requests::contains).toList();
    requests.removeAll(waiting);
    waiting.forEach(request -> request.callback().accept(success));
  }

  /** Ends the requests that have timed out. */
  @Override
  public void tick() {
    long now = clock.nowMs();
    end(requests.stream().filter(r -> now - r.requestedMs() >= timeoutMs).toList(), false);
  }
}
