package org.zinniaspan.cli;

import java.io.PrintStream;
import java.util.function.BooleanSupplier;
import java.util.function.ToIntFunction;

/** A subcommand of the command-line interface. */
interface Command {

  /** Returns the object whose annotated fields hold the command's flags. */
  default Object parameters() {
    return this;
  }

  /** Returns whether {@code --help} was given, so that the command must not run. */
  boolean isHelp();

  /** Runs the command and returns the exit code of the process. */
  int run(PrintStream out);

  /** Returns a command whose flags are annotated fields of the given object. */
  static Command of(Object parameters, BooleanSupplier help, ToIntFunction<PrintStream> action) {
    return new Command() {
      @Override
      public Object parameters() {
        return parameters;
      }

      @Override
      public boolean isHelp() {
        return help.getAsBoolean();
      }

      @Override
      public int run(PrintStream out) {
        return action.applyAsInt(out);
      }
    };
  }
}
