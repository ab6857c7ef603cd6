package org.zinniaspan.standins.load;

import com.beust.jcommander.converters.IParameterSplitter;
import java.util.List;

/** Passes a command-line value on as a single element, as policy flags may contain commas. */
public final class NoSplitting implements IParameterSplitter {

  @Override
  public List<String> split(String value) {
    return List.of(value);
  }
}
