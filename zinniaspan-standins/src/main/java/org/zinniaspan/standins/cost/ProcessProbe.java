package org.zinniaspan.standins.cost;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads processor time and memory of a process from {@code /proc/PID}. */
final class ProcessProbe {

  /** Index in {@code /proc/PID/stat}, counted from the field after the command name. */
  private static final int USER_TICKS_FIELD = 11;

  /** Index in {@code /proc/PID/stat}, counted as for the user ticks. */
  private static final int SYSTEM_TICKS_FIELD = 12;

  private static final double MS_PER_TICK = 10;
  private static final double KIB_PER_MIB = 1_024;

  private final Path procDirectory;

  ProcessProbe(long pid) {
    procDirectory = Path.of("/proc", String.valueOf(pid));
  }

  /** Returns the user and system time of the process so far, in milliseconds. */
  double processorMs() throws IOException {
    String stat = Files.readString(procDirectory.resolve("stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    long ticks =
        Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
    return ticks * MS_PER_TICK;
  }

  /** Returns the current resident memory, in megabytes. */
  double residentMb() throws IOException {
    return readStatusMb("VmRSS:");
  }

  /** Returns the peak resident memory so far, in megabytes. */
  double peakResidentMb() throws IOException {
    return readStatusMb("VmHWM:");
  }

  private double readStatusMb(String name) throws IOException {
    for (String line : Files.readAllLines(procDirectory.resolve("status"))) {
      if (line.startsWith(name)) {
        String kilobytes = line.substring(name.length()).replaceAll("\\D", "");
        return Long.parseLong(kilobytes) / KIB_PER_MIB;
      }
    }
    throw new IOException(procDirectory + "/status has no line " + name);
  }
}
