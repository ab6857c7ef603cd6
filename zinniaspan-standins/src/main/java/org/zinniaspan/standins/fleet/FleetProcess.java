package org.zinniaspan.standins.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of a {@link LocalFleet}. */
public final class FleetProcess implements AutoCloseable {

  private static final long STOP_TIMEOUT_SECONDS = 5;

  private final String name;
  private final Process process;

  private FleetProcess(String name, Process process) {
    this.name = name;
    this.process = process;
  }

  /** Starts a Java process whose output goes where it is told. */
  public static FleetProcess start(
      String name,
      ProcessBuilder.Redirect output,
      List<String> jvmFlags,
      String classPath,
      String mainClass,
      List<String> args)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(jvmFlags);
    command.add("-cp");
    command.add(classPath);
    command.add(mainClass);
    command.addAll(args);
    Process process =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output).start();
    return new FleetProcess(name, process);
  }

  /** Returns the output that appends to a process's file in a directory. */
  public static ProcessBuilder.Redirect logRedirect(Path logDirectory, String name) {
    return ProcessBuilder.Redirect.appendTo(logDirectory.resolve(name + ".log").toFile());
  }

  /** Returns the name. */
  public String name() {
    return name;
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Ends the process at once, as kill -9 does. */
  public void kill() {
    process.destroyForcibly();
    awaitExit(STOP_TIMEOUT_SECONDS);
  }

  /** Sends SIGTERM. */
  public void terminate() {
    process.destroy();
  }

  /** Stops the process until {@link #resume}. */
  public void pause() throws IOException {
    signal("STOP");
  }

  /** Lets a stopped process go on. */
  public void resume() throws IOException {
    signal("CONT");
  }

  /** Waits for the end of the process; returns false if it still runs then. */
  public boolean awaitExit(long timeoutSeconds) {
    try {
      return process.waitFor(timeoutSeconds, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Returns the exit code of a process that has ended. */
  public int exitCode() {
    return process.exitValue();
  }

  private void signal(String signal) throws IOException {
    Process sender = new ProcessBuilder("kill", "-" + signal, String.valueOf(pid())).start();
    try {
      sender.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
