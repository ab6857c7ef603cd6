package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.StringJoiner;

/**
 * Prints the log lines of one request from several processes, ordered by time, each with the name
 * of its file.
 *
 * <p>Example: {@code zinniaspan trace --id 9c41d07be2a35f68 vm-1.log vm-2.log}. Without files it
 * reads standard input. Text before the JSON object of a line is ignored; lines that are not JSON
 * are skipped.
 */
@Parameters(commandDescription = "Print the log lines of one request, ordered by time.")
final class TraceCommand implements Command {

  private static final String LAST_EVENT = "request-ended";

  private final ObjectMapper mapper = new ObjectMapper();

  @Parameter(names = "--help", help = true, description = "Show this help.")
  private boolean help;

  @Parameter(names = "--id", description = "Id of the client attempt.")
  private String id = "";

  @Parameter(description = "Log files; standard input if none is given.")
  private List<String> files = new ArrayList<>();

  private record LogLine(String time, String source, String event, String fields) {}

  @Override
  public boolean isHelp() {
    return help;
  }

  @Override
  public int run(PrintStream out) {
    SettingsChecks checks = new SettingsChecks();
    checks.required("--id", id);
    if (!checks.findings().isEmpty()) {
      checks.findings().forEach(System.err::println);
      return Main.EXIT_USAGE;
    }
    List<LogLine> found = new ArrayList<>();
    try {
      readAll(found);
    } catch (IOException e) {
      System.err.println("zinniaspan: cannot read " + e.getMessage());
      return Main.EXIT_FAILURE;
    }
    found.sort(Comparator.comparing(LogLine::time));
    found.forEach(
        line ->
            out.println(
                String.join("  ", line.time(), line.source(), line.event(), line.fields())));
    return printSummary(found, out);
  }

  private int printSummary(List<LogLine> found, PrintStream out) {
    if (found.isEmpty()) {
      out.println("no log line has the id '" + id + "'");
      return Main.EXIT_FINDINGS;
    }
    if (found.stream().noneMatch(line -> line.event().equals(LAST_EVENT))) {
      out.println(
          "no request-ended event: still running, process killed, or its log file not given");
    }
    return Main.EXIT_OK;
  }

  private void readAll(List<LogLine> found) throws IOException {
    if (files.isEmpty()) {
      read(
          new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)),
          "stdin",
          found);
    }
    for (String file : files) {
      try (BufferedReader reader = Files.newBufferedReader(Path.of(file))) {
        read(reader, Path.of(file).getFileName().toString(), found);
      }
    }
  }

  private void read(BufferedReader reader, String source, List<LogLine> found) throws IOException {
    for (String text = reader.readLine(); text != null; text = reader.readLine()) {
      int start = text.indexOf('{');
      if (start >= 0 && text.contains(id)) {
        addIfMatching(text.substring(start), source, found);
      }
    }
  }

  private void addIfMatching(String json, String source, List<LogLine> found) {
    try {
      JsonNode line = mapper.readTree(json);
      JsonNode message = line.path("message");
      if (!message.path("id").asText().equals(id)) {
        return;
      }
      StringJoiner fields = new StringJoiner(" ");
      message
          .fields()
          .forEachRemaining(
              field -> {
                if (!field.getKey().equals("event") && !field.getKey().equals("id")) {
                  fields.add(field.getKey() + "=" + field.getValue().asText());
                }
              });
      found.add(
          new LogLine(
              line.path("time").asText(),
              source,
              message.path("event").asText(),
              fields.toString()));
    } catch (JsonProcessingException e) {
      System.err.println("zinniaspan: skipped a line that is not JSON: " + e.getOriginalMessage());
    }
  }
}
