package org.zinniaspan.standins;

/** One command of the stand-ins' command line. */
public interface StandinCommand {

  /** Runs the command and returns the exit code of the process. */
  int run() throws Exception;

  /** Waits until the process is told to stop. */
  static int serveUntilStopped() throws InterruptedException {
    Thread.currentThread().join();
    return 0;
  }
}
