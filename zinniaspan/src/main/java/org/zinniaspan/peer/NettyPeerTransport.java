package org.zinniaspan.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.membership.Member;
import org.zinniaspan.peer.proto.Envelope;

/**
 * Exchanges envelopes with other VMs over TCP, as length-prefixed frames.
 *
 * <p>It keeps one outgoing connection per VM. A message is dropped if the address of the VM is
 * unknown, the connection cannot be opened or the channel is not writable.
 */
public final class NettyPeerTransport implements PeerLink, AutoCloseable {

  /** Largest frame, in bytes; documents are sent in smaller parts. */
  public static final int MAX_FRAME_BYTES = 256 * 1024;

  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final int LENGTH_FIELD_BYTES = 4;

  private final Member self;
  private final Function<String, Optional<InetSocketAddress>> addressLookup;
  private final PeerHandler handler;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();
  private final LongAdder sentBytes = new LongAdder();
  private final Channel listener;

  private record PeerConnection(InetSocketAddress address, ChannelFuture connectFuture) {}

  /**
   * Creates a transport and binds its listener.
   *
   * @param self this process; its VM name and incarnation are set in each message
   * @param bindAddress address to listen on
   * @param addressLookup returns the peer address of a VM, or empty if it is unknown
   * @param handler handles messages, on the event loop of the transport
   */
  public NettyPeerTransport(
      Member self,
      InetSocketAddress bindAddress,
      Function<String, Optional<InetSocketAddress>> addressLookup,
      PeerHandler handler) {
    this.self = self;
    this.addressLookup = addressLookup;
    this.handler = handler;
    this.listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new PipelineInitializer())
            .bind(bindAddress)
            .syncUninterruptibly()
            .channel();
  }

  /** Returns the number of bytes sent to other VMs since the transport was created. */
  public long sentBytes() {
    return sentBytes.sum();
  }

  @Override
  public void send(String vm, Envelope.Builder message) {
    Envelope envelope = message.setFromVm(self.vm()).setFromIncarnation(self.incarnation()).build();
    if (vm.equals(self.vm())) {
      group.execute(() -> handler.handle(envelope));
      return;
    }
    addressLookup.apply(vm).ifPresent(address -> send(vm, address, envelope));
  }

  private void send(String vm, InetSocketAddress address, Envelope envelope) {
    PeerConnection connection =
        connections.compute(vm, (name, existing) -> reuseOrConnect(existing, address));
    byte[] frame = envelope.toByteArray();
    connection
        .connectFuture()
        .addListener(
            future -> {
              Channel channel = connection.connectFuture().channel();
              if (future.isSuccess() && channel.isWritable()) {
                sentBytes.add(frame.length + LENGTH_FIELD_BYTES);
                channel.writeAndFlush(channel.alloc().buffer(frame.length).writeBytes(frame));
              }
            });
  }

  private PeerConnection reuseOrConnect(PeerConnection existing, InetSocketAddress address) {
    if (existing != null && existing.address().equals(address) && !isClosed(existing)) {
      return existing;
    }
    if (existing != null) {
      existing.connectFuture().channel().close();
    }
    ChannelFuture connectFuture =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(new PipelineInitializer())
            .connect(address);
    return new PeerConnection(address, connectFuture);
  }

  private static boolean isClosed(PeerConnection connection) {
    return connection.connectFuture().isDone() && !connection.connectFuture().channel().isActive();
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  private final class PipelineInitializer extends ChannelInitializer<SocketChannel> {

    @Override
    protected void initChannel(SocketChannel channel) {
      channel
          .pipeline()
          .addLast(
              new LengthFieldBasedFrameDecoder(
                  MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
          .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
          .addLast(new EnvelopeReceiver());
    }
  }

  private final class EnvelopeReceiver
      extends SimpleChannelInboundHandler<io.netty.buffer.ByteBuf> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, io.netty.buffer.ByteBuf frame)
        throws Exception {
      handler.handle(Envelope.parseFrom(frame.nioBuffer()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      EventLog.event("peer-connection-error").with("error", cause).info();
      context.close();
    }
  }
}
