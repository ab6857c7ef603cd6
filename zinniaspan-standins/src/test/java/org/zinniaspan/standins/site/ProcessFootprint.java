package org.zinniaspan.standins.site;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** The largest resident memory and number of open descriptors of a process that were seen. */
final class ProcessFootprint {

  private static final long BYTES_PER_KB = 1024;

  private final Path directory;
  private long residentBytes;
  private long descriptors;

  ProcessFootprint(long pid) {
    directory = Path.of("/proc", Long.toString(pid));
  }

  /** Reads the present values; does nothing once the process has ended. */
  void sample() {
    try (Stream<String> status = Files.lines(directory.resolve("status"));
        Stream<Path> open = Files.list(directory.resolve("fd"))) {
      descriptors = Math.max(descriptors, open.count());
      status
          .filter(line -> line.startsWith("VmRSS:"))
          .map(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
          .forEach(kb -> residentBytes = Math.max(residentBytes, kb * BYTES_PER_KB));
    } catch (IOException e) {
      // The process has ended, which the test finds out by itself.
    }
  }

  long residentBytes() {
    return residentBytes;
  }

  long descriptors() {
    return descriptors;
  }
}
