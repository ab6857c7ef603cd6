package org.zinniaspan.standins.fleet;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands out ports for listeners.
 *
 * <p>The ports lie below those that the system gives to outgoing connections, and none is handed
 * out twice by one process, so that nothing takes a port before its listener binds it.
 */
public final class FreePorts {

  private static final int FIRST_PORT = 10_000;
  private static final int PORT_COUNT = 20_000;
  private static final int OFFSET_PER_PID = 640;
  private static final AtomicInteger NEXT_OFFSET =
      new AtomicInteger((int) (ProcessHandle.current().pid() * OFFSET_PER_PID % PORT_COUNT));

  private FreePorts() {}

  /** Returns an address of the given host whose port is free. */
  public static InetSocketAddress nextAddress(String host) throws IOException {
    InetAddress address = InetAddress.getByName(host);
    for (int attempts = 0; attempts < PORT_COUNT; attempts++) {
      int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
      if (isFree(address, port)) {
        return new InetSocketAddress(host, port);
      }
    }
    throw new BindException("no port of " + host + " is free");
  }

  private static boolean isFree(InetAddress address, int port) throws IOException {
    try (ServerSocket socket = new ServerSocket(port, 1, address)) {
      return socket.isBound();
    } catch (BindException e) {
      return false;
    }
  }
}
