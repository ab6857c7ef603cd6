package org.zinniaspan.standins.site;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Many clients of one address, which send at the pace of the other side, never read and stay open.
 *
 * <p>Example: {@code crowd.open(900); crowd.send(head); crowd.send(piece);}
 */
final class Crowd implements AutoCloseable {

  /** How the clients' connections are spread over loopback addresses. */
  enum Origin {
    ONE_ADDRESS(1),
    MANY_ADDRESSES(200);

    private final int addressCount;

    Origin(int addressCount) {
      this.addressCount = addressCount;
    }
  }

  /** Time without any progress after which the rest is left to a later call. */
  private static final long NO_PROGRESS_MS = 500;

  private static final int EVENTS_PER_SAMPLE = 200;

  private final InetSocketAddress target;
  private final Origin origin;
  private final Runnable sampling;
  private final Selector selector = Selector.open();
  private final List<Client> clients = new ArrayList<>();

  private record Client(SocketChannel channel, Deque<ByteBuffer> unsent) {}

  /**
   * Creates a crowd without clients.
   *
   * @param sampling called again and again while the crowd sends
   */
  Crowd(InetSocketAddress target, Origin origin, Runnable sampling) throws IOException {
    this.target = new InetSocketAddress(target.getHostString(), target.getPort());
    this.origin = origin;
    this.sampling = sampling;
  }

  /** Opens connections, as far as the other side accepts them. */
  void open(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      SocketChannel channel = SocketChannel.open();
      channel.configureBlocking(false);
      int number = 1 + clients.size() % origin.addressCount;
      channel.bind(new InetSocketAddress("127.1.0." + number, 0));
      Client client = new Client(channel, new ArrayDeque<>());
      clients.add(client);
      channel.register(selector, SelectionKey.OP_CONNECT, client);
      channel.connect(target);
    }
    deliver();
  }

  /** Lets each client send a text, in ISO-8859-1, after what it sent before. */
  void send(String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    for (Client client : clients) {
      SelectionKey key = client.channel().keyFor(selector);
      if (key != null && key.isValid()) {
        client.unsent().add(ByteBuffer.wrap(bytes));
        if (client.channel().isConnected()) {
          key.interestOps(SelectionKey.OP_WRITE);
        }
      }
    }
    deliver();
  }

  private void deliver() throws IOException {
    int events = 0;
    while (hasWork() && selector.select(NO_PROGRESS_MS) > 0) {
      for (SelectionKey key : selector.selectedKeys()) {
        progress(key, (Client) key.attachment());
        if (++events % EVENTS_PER_SAMPLE == 0) {
          sampling.run();
        }
      }
      selector.selectedKeys().clear();
    }
    sampling.run();
  }

  private boolean hasWork() {
    return selector.keys().stream().anyMatch(key -> key.isValid() && key.interestOps() != 0);
  }

  private static void progress(SelectionKey key, Client client) throws IOException {
    try {
      if (key.isConnectable()) {
        client.channel().finishConnect();
      }
      while (!client.unsent().isEmpty() && client.channel().write(client.unsent().peek()) > 0) {
        if (!client.unsent().peek().hasRemaining()) {
          client.unsent().remove();
        }
      }
      key.interestOps(client.unsent().isEmpty() ? 0 : SelectionKey.OP_WRITE);
    } catch (IOException e) {
      // The other side refused the connection or closed it.
      client.channel().close();
      client.unsent().clear();
    }
  }

  @Override
  public void close() throws IOException {
    for (Client client : clients) {
      client.channel().close();
    }
    selector.close();
  }
}
