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
 * Carries envelopes over TCP, one outgoing connection for each VM.
 *
 * <p>A message is dropped while its connection is not there or not writable.
 */
public final class NettyPeerTransport implements PeerLink, AutoCloseable {

  /** Largest frame in bytes; documents travel in smaller parts. */
  public static final int MAX_FRAME_BYTES = 256 * 1024;

  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final int LENGTH_BYTES = 4;

  private final Member self;
  private final Function<String, Optional<InetSocketAddress>> addresses;
  private final PeerHandler handler;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Map<String, Connection> connections = new ConcurrentHashMap<>();
  private final LongAdder sentBytes = new LongAdder();
  private final Channel listener;

  private record Connection(InetSocketAddress address, ChannelFuture connected) {}

  /**
   * Binds the listener.
   *
   * @param self this process, whose name and incarnation each message carries
   * @param bind address to listen on
   * @param addresses finds the peer address of a VM
   * @param handler receives messages, on the transport's thread
   */
  public NettyPeerTransport(
      Member self,
      InetSocketAddress bind,
      Function<String, Optional<InetSocketAddress>> addresses,
      PeerHandler handler) {
    this.self = self;
    this.addresses = addresses;
    this.handler = handler;
    this.listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Pipeline())
            .bind(bind)
            .syncUninterruptibly()
            .channel();
  }

  /** Returns the bytes sent to other VMs since the start. */
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
    addresses.apply(vm).ifPresent(address -> send(vm, address, envelope));
  }

  private void send(String vm, InetSocketAddress address, Envelope envelope) {
    Connection connection = connections.compute(vm, (name, existing) -> usable(existing, address));
    byte[] frame = envelope.toByteArray();
    connection
        .connected()
        .addListener(
            future -> {
              Channel channel = connection.connected().channel();
              if (future.isSuccess() && channel.isWritable()) {
                sentBytes.add(frame.length + LENGTH_BYTES);
                channel.writeAndFlush(channel.alloc().buffer(frame.length).writeBytes(frame));
              }
            });
  }

  private Connection usable(Connection existing, InetSocketAddress address) {
    if (existing != null && existing.address().equals(address) && !isDead(existing)) {
      return existing;
    }
    if (existing != null) {
      existing.connected().channel().close();
    }
    ChannelFuture connected =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(new Pipeline())
            .connect(address);
    return new Connection(address, connected);
  }

  private static boolean isDead(Connection connection) {
    return connection.connected().isDone() && !connection.connected().channel().isActive();
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  private final class Pipeline extends ChannelInitializer<SocketChannel> {

    @Override
    protected void initChannel(SocketChannel channel) {
      channel
          .pipeline()
          .addLast(
              new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
          .addLast(new LengthFieldPrepender(LENGTH_BYTES))
          .addLast(new Receiver());
    }
  }

  private final class Receiver extends SimpleChannelInboundHandler<io.netty.buffer.ByteBuf> {

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
