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

  private static final int FIRST = 10_000;
  private static final int COUNT = 20_000;
  private static final int PROCESS_STEP = 640;
  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * PROCESS_STEP % COUNT));

  private FreePorts() {}

  /** Returns an address of the given host whose port is free. */
  public static InetSocketAddress next(String host) throws IOException {
    InetAddress address = InetAddress.getByName(host);
    for (int tries = 0; tries < COUNT; tries++) {
      int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
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
