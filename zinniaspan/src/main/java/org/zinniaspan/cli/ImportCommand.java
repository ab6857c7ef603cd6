package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.codec.digest.DigestUtils;
import org.zinniaspan.configuration.DocumentParser;
import org.zinniaspan.inventory.Finding;

/**
 * Converts an export of the asset register to the configuration documents to publish.
 *
 * <p>The register is one JSON object with the fields {@code regions}, {@code models}, {@code
 * endpoints} and {@code organisations}. The plain {@code key} of an organisation is replaced by its
 * SHA-256 hash. If there are findings, no file is written.
 */
@Parameters(commandDescription = "Convert an asset register to the documents to publish.")
public final class ImportCommand implements Command {

  @Parameter(names = "--help", help = true, description = "Show this help.")
  boolean help;

  @Parameter(names = "--register", description = "File with the asset register.")
  String register = "";

  @Parameter(
      names = "--out",
      description = "Output folder for inventory.json and organisations.json.")
  String out = "";

  private final ObjectMapper mapper = new ObjectMapper();

  @Override
  public boolean isHelp() {
    return help;
  }

  @Override
  public int run(PrintStream messages) {
    if (register.isBlank() || out.isBlank()) {
      messages.println("import: --register and --out are both required");
      return Main.EXIT_USAGE;
    }
    try {
      return convert(mapper.readTree(Files.readAllBytes(Path.of(register))), messages);
    } catch (IOException e) {
      messages.println(register + ": cannot be read: " + e.getMessage());
      return Main.EXIT_FAILURE;
    }
  }

  private int convert(JsonNode source, PrintStream messages) throws IOException {
    ObjectNode inventory = mapper.createObjectNode();
    for (String field : List.of("regions", "models", "endpoints")) {
      inventory.set(field, source.path(field));
    }
    ArrayNode organisations = mapper.createArrayNode();
    source.path("organisations").forEach(row -> organisations.add(withKeyHash(row)));
    List<Finding> findings = new ArrayList<>();
    DocumentParser parser = new DocumentParser();
    parser.inventory(mapper.writeValueAsBytes(inventory), findings);
    parser.organisations(mapper.writeValueAsBytes(organisations), findings);
    if (!findings.isEmpty()) {
      findings.forEach(messages::println);
      return Main.EXIT_FINDINGS;
    }
    write("inventory.json", inventory);
    write("organisations.json", organisations);
    messages.println("wrote inventory.json and organisations.json to " + out);
    return Main.EXIT_OK;
  }

  private static JsonNode withKeyHash(JsonNode row) {
    if (!row.isObject() || !row.hasNonNull("key")) {
      return row;
    }
    ObjectNode copy = row.deepCopy();
    copy.put("keySha256", DigestUtils.sha256Hex(copy.remove("key").asText()));
    return copy;
  }

  private void write(String name, JsonNode document) throws IOException {
    Files.createDirectories(Path.of(out));
    mapper.writerWithDefaultPrettyPrinter().writeValue(Path.of(out, name).toFile(), document);
  }
}
