package org.zinniaspan.standins.fleet;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates free TCP ports for listeners of local processes.
 *
 * <p>The port range, 10000 to 29999, lies below the operating system's ephemeral port range, and
 * the allocator does not return a port again until it has tried the whole range, so no outgoing
 * connection or other listener of this process takes a port before its listener binds it.
 */
public final class FreePorts {

  private static final int FIRST_PORT = 10_000;
  private static final int PORT_COUNT = 20_000;

  /** Processes with consecutive ids start 640 ports apart, so they rarely try the same ports. */
  private static final int OFFSET_PER_PID = 640;

  private static final AtomicInteger NEXT_OFFSET =
      new AtomicInteger((int) (ProcessHandle.current().pid() * OFFSET_PER_PID % PORT_COUNT));

  private FreePorts() {}

  /**
   * Returns the next address of the given host whose port is free.
   *
   * @throws BindException if all ports of the range are in use
   */
  public static InetSocketAddress nextAddress(String host) throws IOException {
    InetAddress address = InetAddress.getByName(host);
    for (int attempts = 0; attempts < PORT_COUNT; attempts++) {
      int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
      if (isFree(address, port)) {
        return new InetSocketAddress(host, port);
      }
    }
    throw new BindException("no free port on " + host + " in the allocation range");
  }

  private static boolean isFree(InetAddress address, int port) throws IOException {
    try (ServerSocket socket = new ServerSocket(port, 1, address)) {
      return socket.isBound();
    } catch (BindException e) {
      return false;
    }
  }
}
