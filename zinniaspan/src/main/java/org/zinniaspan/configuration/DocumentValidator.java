package org.zinniaspan.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.zinniaspan.inventory.ClassRule;
import org.zinniaspan.inventory.Endpoint;
import org.zinniaspan.inventory.EndpointKind;
import org.zinniaspan.inventory.Finding;
import org.zinniaspan.inventory.Inventory;
import org.zinniaspan.inventory.Model;
import org.zinniaspan.inventory.Organisation;
import org.zinniaspan.inventory.Region;
import org.zinniaspan.inventory.Rules;
import org.zinniaspan.inventory.ServiceClass;
import org.zinniaspan.inventory.VmEntry;
import org.zinniaspan.inventory.VmList;

/** Validates documents; each check adds all errors that it finds to the findings. */
final class DocumentValidator {

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern NUMERIC_ADDRESS =
      Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):\\d{1,5}");

  void checkInventory(Inventory inventory, List<Finding> findings) {
    final FindingCollector collector = new FindingCollector(DocumentName.INVENTORY, findings);
    Set<String> zones = new HashSet<>();
    Set<String> regionNames = new HashSet<>();
    for (int i = 0; i < inventory.regions().size(); i++) {
      Region region = inventory.regions().get(i);
      collector.checkName("regions[" + i + "].name", region.name(), regionNames);
      for (int j = 0; j < region.zones().size(); j++) {
        collector.checkName("regions[" + i + "].zones[" + j + "]", region.zones().get(j), zones);
      }
    }
    Set<String> models = new HashSet<>();
    for (int i = 0; i < inventory.models().size(); i++) {
      Model model = inventory.models().get(i);
      collector.checkName("models[" + i + "].name", model.name(), models);
    }
    Set<String> endpointNames = new HashSet<>();
    for (int i = 0; i < inventory.endpoints().size(); i++) {
      Endpoint endpoint = inventory.endpoints().get(i);
      String path = "endpoints[" + i + "]";
      collector.checkName(path + ".name", endpoint.name(), endpointNames);
      checkEndpoint(path, endpoint, zones, models, collector);
    }
  }

  private static void checkEndpoint(
      String path,
      Endpoint endpoint,
      Set<String> zones,
      Set<String> models,
      FindingCollector collector) {
    if (endpoint.kind() == null) {
      collector.add(path + ".kind", "is missing; valid are 'engine' and 'service'");
    }
    collector.checkChoice(path + ".zone", endpoint.zone(), zones);
    collector.checkAddress(path + ".address", endpoint.address());
    for (int i = 0; i < endpoint.models().size(); i++) {
      collector.checkChoice(path + ".models[" + i + "]", endpoint.models().get(i), models);
    }
    if (endpoint.kind() == EndpointKind.SERVICE && endpoint.service().isEmpty()) {
      collector.add(path + ".service", "is missing for an endpoint of kind 'service'");
    }
    if (endpoint.slots() < 1) {
      collector.add(path + ".slots", "is " + endpoint.slots() + "; must be at least 1");
    }
  }

  void checkOrganisations(List<Organisation> organisations, List<Finding> findings) {
    FindingCollector collector = new FindingCollector(DocumentName.ORGANISATIONS, findings);
    Set<String> names = new HashSet<>();
    Set<String> hashes = new HashSet<>();
    for (int i = 0; i < organisations.size(); i++) {
      Organisation organisation = organisations.get(i);
      collector.checkName("[" + i + "].name", organisation.name(), names);
      String hash = organisation.keySha256();
      String path = "[" + i + "].keySha256";
      if (hash == null || !SHA256.matcher(hash).matches()) {
        collector.add(path, "'" + hash + "' is not 64 lower-case hexadecimal digits");
      } else if (!hashes.add(hash)) {
        collector.add(path, "'" + hash + "' is already the key hash of another organisation");
      }
      if (organisation.weight() < 1) {
        collector.add("[" + i + "].weight", "is " + organisation.weight() + "; must be at least 1");
      }
    }
  }

  void checkRules(Rules rules, List<Finding> findings) {
    FindingCollector collector = new FindingCollector(DocumentName.RULES, findings);
    Set<String> classes = new HashSet<>();
    for (int i = 0; i < rules.classes().size(); i++) {
      ServiceClass serviceClass = rules.classes().get(i);
      String path = "classes[" + i + "]";
      collector.checkName(path + ".name", serviceClass.name(), classes);
      if (serviceClass.tier() < 0) {
        collector.add(
            path + ".tier",
            "is " + serviceClass.tier() + "; must be 0, the highest tier, or greater");
      }
      if (serviceClass.firstTokenTargetMs() < 1) {
        collector.add(
            path + ".firstTokenTargetMs",
            "is " + serviceClass.firstTokenTargetMs() + "; must be at least 1 ms");
      }
    }
    if (!rules.defaultChatClass().isEmpty()) {
      collector.checkChoice("defaultChatClass", rules.defaultChatClass(), classes);
    }
    for (int i = 0; i < rules.assign().size(); i++) {
      ClassRule rule = rules.assign().get(i);
      collector.checkChoice("assign[" + i + "].serviceClass", rule.serviceClass(), classes);
      if (rule.model() != null && rule.service() != null) {
        collector.add("assign[" + i + "]", "names both a model and a service; only one is allowed");
      }
    }
  }

  void checkVms(VmList vms, List<Finding> findings) {
    FindingCollector collector = new FindingCollector(DocumentName.VMS, findings);
    Set<String> names = new HashSet<>();
    for (int i = 0; i < vms.vms().size(); i++) {
      VmEntry vm = vms.vms().get(i);
      String path = "vms[" + i + "]";
      collector.checkName(path + ".name", vm.name(), names);
      collector.checkChoice(path + ".role", vm.role(), Set.of("entry", "endpoint"));
      collector.checkChoice(path + ".state", vm.state(), Set.of("live", "leaving"));
      if (vm.isEntry()) {
        collector.checkAddress(path + ".address", vm.address());
      }
    }
  }

  private record FindingCollector(DocumentName document, List<Finding> findings) {

    void add(String path, String message) {
      findings.add(new Finding(document.label(), path, message));
    }

    void checkName(String path, String name, Set<String> seen) {
      if (name == null || !NAME.matcher(name).matches()) {
        add(
            path,
            "'"
                + name
                + "' is not a name of 1 to 63 letters, digits, '.', '_' or '-'"
                + " that starts with a letter or digit");
      } else if (!seen.add(name)) {
        add(path, "'" + name + "' is listed twice");
      }
    }

    void checkChoice(String path, String value, Set<String> valid) {
      if (value == null || !valid.contains(value)) {
        String choices = valid.stream().sorted().collect(Collectors.joining(", "));
        add(path, "'" + value + "' is unknown; valid are: " + choices);
      }
    }

    void checkAddress(String path, String address) {
      if (address == null || !NUMERIC_ADDRESS.matcher(address).matches()) {
        add(
            path,
            "'" + address + "' is not a numeric address with a port, for example 10.0.0.7:8000");
      }
    }
  }
}
