package org.zinniaspan.standins.engine;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * The scheduler of an engine stand-in: continuous batching by priority, and a prefix cache.
 *
 * <p>State is guarded by this object's lock.
 */
public final class EngineCore {

  /** What an engine said of its load at one time. */
  public record Load(long atMs, int running, int waiting, double msPerToken) {}

  private record Waiting(int priority, long order) {}

  private final EngineModel model;
  private final PriorityQueue<Waiting> waiting =
      new PriorityQueue<>(
          Comparator.comparingInt(Waiting::priority).thenComparingLong(Waiting::order));
  private final Deque<Load> loads = new ArrayDeque<>();
  private final LinkedHashMap<Long, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
  private final Set<String> models = new HashSet<>();
  private int cachedTokens;
  private int running;
  private long nextOrder;
  private double slowdown = 1;
  private boolean leaving;
  private long highestFencing;
  private long generatedTokens;
  private long cancelledTokens;

  /** Creates an idle engine that serves the given models. */
  public EngineCore(EngineModel model, Set<String> models) {
    this.model = model;
    this.models.addAll(models);
  }

  /** Waits for a place in the batch; returns false if the thread was interrupted. */
  public synchronized boolean enter(int priority) {
    Waiting own = new Waiting(priority, nextOrder++);
    waiting.add(own);
    try {
      while (running >= model.slots() || waiting.peek() != own) {
        wait();
      }
      running++;
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } finally {
      waiting.remove(own);
      notifyAll();
    }
  }

  /** Leaves the batch. */
  public synchronized void exit() {
    running--;
    notifyAll();
  }

  /** Returns the milliseconds that reading the prompt takes, and caches the prompt. */
  public synchronized double prefillMs(long prefixDigest, int prefixTokens, int promptTokens) {
    int cached = cache.getOrDefault(prefixDigest, 0);
    remember(prefixDigest, prefixTokens);
    int toRead = Math.max(1, promptTokens - cached);
    return 1_000.0 * toRead / model.prefillTokensPerSecond() * slowdown;
  }

  private void remember(long prefixDigest, int prefixTokens) {
    Integer before = cache.put(prefixDigest, prefixTokens);
    cachedTokens += prefixTokens - (before == null ? 0 : before);
    var oldest = cache.entrySet().iterator();
    while (cachedTokens > model.cacheTokens() && oldest.hasNext()) {
      Map.Entry<Long, Integer> entry = oldest.next();
      cachedTokens -= entry.getValue();
      oldest.remove();
    }
  }

  /** Returns the milliseconds until the next token of one request. */
  public synchronized double msPerToken() {
    return (model.baseMsPerToken() + running * model.msPerTokenPerRequest()) * slowdown;
  }

  /** Counts a generated token. */
  public synchronized void countToken() {
    generatedTokens++;
  }

  /** Counts the tokens of an answer that nobody received. */
  public synchronized void countCancelled(int tokens) {
    cancelledTokens += tokens;
  }

  /** Makes the engine slower, as a straggler; 1 is its usual pace. */
  public synchronized void setSlowdown(double value) {
    slowdown = value;
  }

  /** Makes the engine refuse new work, or take it again. */
  public synchronized void setLeaving(boolean value) {
    leaving = value;
  }

  /** Returns whether the engine refuses new work. */
  public synchronized boolean isLeaving() {
    return leaving;
  }

  /** Returns the models that are loaded. */
  public synchronized Set<String> models() {
    return Set.copyOf(models);
  }

  /** Obeys an order; returns false if its fencing number is refused. */
  public synchronized boolean order(long fencing, Set<String> wished) {
    if (model.checksFencing() && fencing < highestFencing) {
      return false;
    }
    highestFencing = Math.max(highestFencing, fencing);
    models.clear();
    models.addAll(wished);
    return true;
  }

  /** Returns the highest fencing number seen. */
  public synchronized long highestFencing() {
    return highestFencing;
  }

  /** Returns the load of now. */
  public synchronized Load loadNow(long nowMs) {
    return new Load(nowMs, running, waiting.size(), msPerToken());
  }

  /** Returns the load as it was when the report lag began. */
  public synchronized Load laggedLoad(long nowMs) {
    loads.addLast(loadNow(nowMs));
    while (loads.size() > 1 && secondAge(nowMs) >= model.reportLagMs()) {
      loads.removeFirst();
    }
    return loads.peekFirst();
  }

  private long secondAge(long nowMs) {
    var iterator = loads.iterator();
    iterator.next();
    return nowMs - iterator.next().atMs();
  }

  /** Returns the tokens generated, and of these the ones that nobody received. */
  public synchronized long[] tokenCounts() {
    return new long[] {generatedTokens, cancelledTokens};
  }
}
