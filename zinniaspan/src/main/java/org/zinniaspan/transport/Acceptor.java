package org.zinniaspan.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.zinniaspan.log.EventLog;

/**
 * Accepts connections on one thread, and stops for a moment where a listener has as many open as it
 * may have, or the process has no descriptor left.
 */
final class Acceptor implements Runnable, AutoCloseable {

  /** Time after which a listener that has stopped accepts again, in milliseconds. */
  private static final long PAUSE_MS = 10;

  private final int backlog;
  private final BiConsumer<SocketChannel, Supplier<?>> onAccepted;
  private final BiConsumer<InboundConnections, Boolean> onFull;
  private final Selector selector;
  private final Queue<Listener> added = new ConcurrentLinkedQueue<>();
  private final List<SelectionKey> paused = new ArrayList<>();
  private final Collection<ServerSocketChannel> channels = new ConcurrentLinkedQueue<>();

  /** A bound address with its open connections. */
  private static final class Listener {

    private final ServerSocketChannel channel;
    private final Supplier<?> factory;
    private final InboundConnections limits;
    private final Set<SocketChannel> accepted = new HashSet<>();
    private int nextCheckSize;

    Listener(ServerSocketChannel channel, Supplier<?> factory, InboundConnections limits) {
      this.channel = channel;
      this.factory = factory;
      this.limits = limits;
    }

    /** Returns whether no further connection may be open. */
    boolean isFull() {
      if (accepted.size() >= Math.min(limits.maxConnections(), nextCheckSize)) {
        accepted.removeIf(connection -> !connection.isOpen());
        nextCheckSize = 2 * accepted.size() + 1;
      }
      return accepted.size() >= limits.maxConnections();
    }
  }

  /**
   * Creates an acceptor without listeners; {@link #run} accepts.
   *
   * @param onAccepted takes an accepted connection and the factory of its handler
   * @param onFull called when connections of a listener have to be closed, with whether the process
   *     has no descriptor left
   */
  Acceptor(
      int backlog,
      BiConsumer<SocketChannel, Supplier<?>> onAccepted,
      BiConsumer<InboundConnections, Boolean> onFull)
      throws IOException {
    this.backlog = backlog;
    this.onAccepted = onAccepted;
    this.onFull = onFull;
    this.selector = Selector.open();
  }

  /** Binds an address and accepts its connections. */
  void listen(InetSocketAddress address, Supplier<?> factory, InboundConnections limits)
      throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    try {
      channel.configureBlocking(false);
      channel.socket().setReuseAddress(true);
      channel.bind(address, backlog);
    } catch (IOException e) {
      channel.close();
      throw e;
    }
    channels.add(channel);
    added.add(new Listener(channel, factory, limits));
    selector.wakeup();
  }

  @Override
  public void run() {
    try {
      while (selector.isOpen()) {
        selector.select(paused.isEmpty() ? 0 : PAUSE_MS);
        registerAdded();
        for (SelectionKey key : paused) {
          if (key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
          }
        }
        paused.clear();
        for (SelectionKey key : selector.selectedKeys()) {
          if (key.isValid()) {
            accept(key, (Listener) key.attachment());
          }
        }
        selector.selectedKeys().clear();
      }
    } catch (ClosedSelectorException e) {
      // Closed, which ends the thread.
    } catch (IOException e) {
      EventLog.event("accept-failed").with("error", e).warn();
    }
  }

  private void registerAdded() throws ClosedChannelException {
    for (Listener listener = added.poll(); listener != null; listener = added.poll()) {
      listener.channel.register(selector, SelectionKey.OP_ACCEPT, listener);
    }
  }

  private void accept(SelectionKey key, Listener listener) {
    try {
      while (!listener.isFull()) {
        SocketChannel channel = listener.channel.accept();
        if (channel == null) {
          return;
        }
        listener.accepted.add(channel);
        onAccepted.accept(channel, listener.factory);
      }
      pause(key);
      onFull.accept(listener.limits, false);
    } catch (ClosedChannelException e) {
      key.cancel();
    } catch (IOException e) {
      // Mostly "Too many open files"; the connection stays in the queue of the listener.
      pause(key);
      onFull.accept(listener.limits, true);
    }
  }

  private void pause(SelectionKey key) {
    key.interestOps(0);
    paused.add(key);
  }

  @Override
  public void close() throws IOException {
    for (ServerSocketChannel channel : channels) {
      channel.close();
    }
    selector.close();
  }
}
