package org.zinniaspan.standins.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A child process of a {@link LocalFleet}, with signals and exit status.
 *
 * <p>{@link #close} kills the process and does not wait for its exit.
 */
public final class FleetProcess implements AutoCloseable {

  private static final long STOP_TIMEOUT_SECONDS = 5;

  private final String name;
  private final Process process;

  private FleetProcess(String name, Process process) {
    this.name = name;
    this.process = process;
  }

  /**
   * Starts a Java process with the running JVM's {@code java} executable.
   *
   * @param output destination of the standard output and the standard error
   */
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

  /** Returns a redirect that appends to {@code NAME.log} in a directory. */
  public static ProcessBuilder.Redirect logRedirect(Path logDirectory, String name) {
    return ProcessBuilder.Redirect.appendTo(logDirectory.resolve(name + ".log").toFile());
  }

  /** Returns the process name, which is also the name of its log file. */
  public String name() {
    return name;
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process is still running. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Kills the process with SIGKILL and waits up to 5 s for its exit. */
  public void kill() {
    process.destroyForcibly();
    awaitExit(STOP_TIMEOUT_SECONDS);
  }

  /** Sends SIGTERM and returns without waiting. */
  public void terminate() {
    process.destroy();
  }

  /** Suspends the process with SIGSTOP until {@link #resume}. */
  public void pause() throws IOException {
    signal("STOP");
  }

  /** Resumes a suspended process with SIGCONT. */
  public void resume() throws IOException {
    signal("CONT");
  }

  /** Waits for the process to exit; returns false if it is still running after the timeout. */
  public boolean awaitExit(long timeoutSeconds) {
    try {
      return process.waitFor(timeoutSeconds, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Returns the exit code; fails if the process is still running. */
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
