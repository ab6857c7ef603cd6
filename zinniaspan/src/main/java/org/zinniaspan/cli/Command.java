package org.zinniaspan.cli;

import java.io.PrintStream;
import java.util.function.BooleanSupplier;
import java.util.function.ToIntFunction;

/** One command of the command line. */
interface Command {

  /** Returns the object whose fields are the command's flags. */
  default Object parameters() {
    return this;
  }

  /** Returns whether only the command's help was asked for. */
  boolean isHelp();

  /** Runs the command and returns the exit code of the process. */
  int run(PrintStream out);

  /** Returns a command whose flags are the fields of another object. */
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
