package org.zinniaspan.forwarding;

/**
 * What one VM can take on at a time, from its limits on sockets and memory.
 *
 * <p>Example: {@code VmLimits.of(4_100, 330).isExhausted(3_600, 0)} is true, as a VM of 4,100 file
 * descriptors takes at most 3,510 sockets.
 *
 * @param maxSockets largest number of open sockets with which new requests are accepted
 * @param maxBodyBytes largest sum of the request bodies in memory with which new requests are
 *     accepted, in bytes
 */
public record VmLimits(int maxSockets, long maxBodyBytes) {

  /** File descriptors that are set aside for files. */
  private static final int FILE_DESCRIPTORS_FOR_FILES = 200;

  /** Share of the sockets that requests may take; the rest is for connections that come anyway. */
  private static final double SOCKET_SHARE = 0.9;

  /** Share of the VM's memory that request bodies may take. */
  private static final double BODY_SHARE = 0.1;

  private static final long BYTES_PER_MB = 1024 * 1024;

  /**
   * Returns the limits of a VM.
   *
   * @param maxFileDescriptors file descriptors of the process
   * @param memoryMb memory of the process, in mebibytes
   */
  public static VmLimits of(int maxFileDescriptors, long memoryMb) {
    int sockets = Math.max(1, maxFileDescriptors - FILE_DESCRIPTORS_FOR_FILES);
    return new VmLimits(
        (int) (sockets * SOCKET_SHARE), (long) (memoryMb * BYTES_PER_MB * BODY_SHARE));
  }

  /** Returns whether a new request has to be refused. */
  public boolean isExhausted(int openSockets, long bodyBytes) {
    return openSockets >= maxSockets || bodyBytes >= maxBodyBytes;
  }
}
