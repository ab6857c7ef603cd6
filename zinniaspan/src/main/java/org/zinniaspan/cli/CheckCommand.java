package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.zinniaspan.configuration.DocumentParser;
import org.zinniaspan.inventory.Finding;

/** Validates configuration documents before they are published. */
@Parameters(commandDescription = "Validate configuration documents and report all findings.")
public final class CheckCommand implements Command {

  @Parameter(names = "--help", help = true, description = "Show this help.")
  boolean help;

  @Parameter(names = "--inventory", description = "Inventory file: regions, models and endpoints.")
  String inventory;

  @Parameter(names = "--organisations", description = "Organisations file.")
  String organisations;

  @Parameter(names = "--rules", description = "Rules file: service classes and rules.")
  String rules;

  @Override
  public boolean isHelp() {
    return help;
  }

  @Override
  public int run(PrintStream out) {
    DocumentParser parser = new DocumentParser();
    List<Finding> findings = new ArrayList<>();
    if (inventory == null && organisations == null && rules == null) {
      out.println("check: pass at least one of --inventory, --organisations and --rules");
      return Main.EXIT_USAGE;
    }
    check(inventory, findings, parser::inventory);
    check(organisations, findings, parser::organisations);
    check(rules, findings, parser::rules);
    findings.forEach(out::println);
    out.println(findings.isEmpty() ? "no findings" : findings.size() + " findings");
    return findings.isEmpty() ? Main.EXIT_OK : Main.EXIT_FINDINGS;
  }

  @FunctionalInterface
  private interface DocumentCheck {
    Object apply(byte[] content, List<Finding> findings);
  }

  private static void check(String file, List<Finding> findings, DocumentCheck check) {
    if (file == null) {
      return;
    }
    List<Finding> fileFindings = new ArrayList<>();
    try {
      check.apply(Files.readAllBytes(Path.of(file)), fileFindings);
    } catch (IOException e) {
      fileFindings.add(new Finding(file, "", "cannot be read: " + e.getMessage()));
    }
    fileFindings.forEach(
        finding -> findings.add(new Finding(file, finding.path(), finding.message())));
  }
}
