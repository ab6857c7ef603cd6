package org.zinniaspan.standins;

/** A subcommand of the stand-ins' command line. */
public interface StandinCommand {

  /** Runs the command and returns the exit code of the process. */
  int run() throws Exception;

  /** Blocks the calling thread until the process is terminated. */
  static int serveUntilStopped() throws InterruptedException {
    Thread.currentThread().join();
    return 0;
  }
}
