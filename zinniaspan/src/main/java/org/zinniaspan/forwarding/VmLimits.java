package org.zinniaspan.forwarding;

/**
 * What one VM can take on at a time, from its limits on sockets and memory.
 *
 * <p>Example: {@code VmLimits.of(4_100, 330, 96 << 20).isExhausted(3_600, 0)} is true, as a VM of
 * 4,100 file descriptors takes at most 3,510 sockets.
 *
 * @param maxSockets largest number of open sockets with which new requests are accepted
 * @param maxBodyBytes largest sum of the request bodies in memory with which new requests are
 *     accepted, in bytes
 * @param maxResponseBytes largest sum of the response bodies in memory, in bytes
 * @param clients limits on the connections of clients
 * @param peers limits on the connections of other VMs
 * @param operators limits on the connections to each page for operators and the load balancer
 */
public record VmLimits(
    int maxSockets,
    long maxBodyBytes,
    long maxResponseBytes,
    ListenerLimits clients,
    ListenerLimits peers,
    ListenerLimits operators) {

  /**
   * Limits on the connections of a listener.
   *
   * @param maxConnections largest number of open connections
   * @param maxBytes largest sum of what they hold beside large bodies, in bytes
   */
  public record ListenerLimits(int maxConnections, long maxBytes) {

    /** Fewest connections that a listener takes. */
    private static final int MIN_CONNECTIONS = 8;

    /** About what an open connection takes without any bytes, in bytes. */
    private static final int BYTES_PER_CONNECTION = 4_096;

    private static ListenerLimits of(
        int sockets, double socketShare, long heapBytes, double heapShare) {
      long bytes = (long) (heapBytes * heapShare);
      long count = Math.min((long) (sockets * socketShare), bytes / BYTES_PER_CONNECTION);
      return new ListenerLimits((int) Math.max(MIN_CONNECTIONS, count), bytes);
    }
  }

  /** File descriptors that are set aside for files. */
  private static final int FILE_DESCRIPTORS_FOR_FILES = 200;

  /** Share of the sockets that requests may take; the rest is for connections that come anyway. */
  private static final double SOCKET_SHARE = 0.9;

  /** Share of the VM's memory that request bodies may take. */
  private static final double BODY_SHARE = 0.1;

  /** Share of the Java heap that request bodies may take. */
  private static final double BODY_HEAP_SHARE = 0.25;

  /** Share of the Java heap that response bodies may take. */
  private static final double RESPONSE_HEAP_SHARE = 0.125;

  /** Shares of the sockets that connections of each kind may take. */
  private static final double CLIENT_SOCKET_SHARE = 0.65;

  private static final double PEER_SOCKET_SHARE = 0.08;
  private static final double PAGE_SOCKET_SHARE = 0.01;

  /**
   * Shares of the Java heap that connections of each kind may take by themselves, and again for
   * what they hold.
   */
  private static final double CLIENT_HEAP_SHARE = 0.125;

  private static final double PEER_HEAP_SHARE = 0.03125;
  private static final double PAGE_HEAP_SHARE = 0.015625;

  private static final long BYTES_PER_MB = 1024 * 1024;

  /**
   * Returns the limits of a VM.
   *
   * @param maxFileDescriptors file descriptors of the process
   * @param memoryMb memory of the process, in mebibytes
   * @param heapBytes largest Java heap of the process, in bytes
   */
  public static VmLimits of(int maxFileDescriptors, long memoryMb, long heapBytes) {
    int sockets = Math.max(1, maxFileDescriptors - FILE_DESCRIPTORS_FOR_FILES);
    return new VmLimits(
        (int) (sockets * SOCKET_SHARE),
        (long) Math.min(memoryMb * BYTES_PER_MB * BODY_SHARE, heapBytes * BODY_HEAP_SHARE),
        (long) (heapBytes * RESPONSE_HEAP_SHARE),
        ListenerLimits.of(sockets, CLIENT_SOCKET_SHARE, heapBytes, CLIENT_HEAP_SHARE),
        ListenerLimits.of(sockets, PEER_SOCKET_SHARE, heapBytes, PEER_HEAP_SHARE),
        ListenerLimits.of(sockets, PAGE_SOCKET_SHARE, heapBytes, PAGE_HEAP_SHARE));
  }

  /** Returns whether a new request has to be refused. */
  public boolean isExhausted(int openSockets, long bodyBytes) {
    return openSockets >= maxSockets || bodyBytes >= maxBodyBytes;
  }
}
