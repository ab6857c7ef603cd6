package org.apache.hc.core5.reactor;

import java.nio.channels.SocketChannel;

/**
 * Hands accepted channels to a reactor.
 *
 * <p>HttpCore does this only from its own listener, which accepts without bound and ends when the
 * process has no descriptor left.
 */
public final class AcceptedChannels {

  private AcceptedChannels() {}

  /**
   * Hands over a channel; the reactor creates its session and handler on the I/O thread.
   *
   * @param attachment passed to the reactor's handler factory
   */
  public static void enqueue(
      DefaultConnectingIOReactor reactor, SocketChannel channel, Object attachment) {
    reactor.selectWorker().enqueueChannel(new ChannelEntry(channel, attachment));
  }
}
