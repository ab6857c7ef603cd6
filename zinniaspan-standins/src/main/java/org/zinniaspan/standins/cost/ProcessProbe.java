package org.zinniaspan.standins.cost;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads what a process has used from the files of the Linux kernel. */
final class ProcessProbe {

  private static final int USER_TICKS = 11;
  private static final int SYSTEM_TICKS = 12;
  private static final double MS_PER_TICK = 10;
  private static final double KILOBYTES_PER_MEGABYTE = 1_024;

  private final Path folder;

  ProcessProbe(long pid) {
    folder = Path.of("/proc", String.valueOf(pid));
  }

  /** Returns the processor time used so far, in milliseconds. */
  double processorMs() throws IOException {
    String stat = Files.readString(folder.resolve("stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    long ticks = Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS]);
    return ticks * MS_PER_TICK;
  }

  /** Returns the resident memory of now, in megabytes. */
  double residentMb() throws IOException {
    return status("VmRSS:");
  }

  /** Returns the largest resident memory so far, in megabytes. */
  double peakResidentMb() throws IOException {
    return status("VmHWM:");
  }

  private double status(String name) throws IOException {
    for (String line : Files.readAllLines(folder.resolve("status"))) {
      if (line.startsWith(name)) {
        String kilobytes = line.substring(name.length()).replaceAll("\\D", "");
        return Long.parseLong(kilobytes) / KILOBYTES_PER_MEGABYTE;
      }
    }
    throw new IOException(folder + "/status has no " + name);
  }
}
