package org.zinniaspan.configuration;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.zinniaspan.inventory.Finding;
import org.zinniaspan.inventory.Inventory;
import org.zinniaspan.inventory.Organisation;
import org.zinniaspan.inventory.Rules;
import org.zinniaspan.inventory.VmList;

/**
 * Parses and validates published documents.
 *
 * <p>Each method adds the errors that it finds to the given list, and returns the value only if
 * there were none.
 */
public final class DocumentParser {

  private final ObjectMapper mapper =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();
  private final DocumentValidator validator = new DocumentValidator();

  /** Parses the inventory. */
  public Optional<Inventory> inventory(byte[] content, List<Finding> findings) {
    int before = findings.size();
    Optional<Inventory> value =
        read(DocumentName.INVENTORY, content, new TypeReference<>() {}, findings);
    value.ifPresent(inventory -> validator.checkInventory(inventory, findings));
    return value.filter(inventory -> findings.size() == before);
  }

  /** Parses the list of organisations. */
  public Optional<List<Organisation>> organisations(byte[] content, List<Finding> findings) {
    int before = findings.size();
    Optional<List<Organisation>> value =
        read(DocumentName.ORGANISATIONS, content, new TypeReference<>() {}, findings);
    value.ifPresent(organisations -> validator.checkOrganisations(organisations, findings));
    return value.filter(organisations -> findings.size() == before);
  }

  /** Parses the rules. */
  public Optional<Rules> rules(byte[] content, List<Finding> findings) {
    int before = findings.size();
    Optional<Rules> value = read(DocumentName.RULES, content, new TypeReference<>() {}, findings);
    value.ifPresent(rules -> validator.checkRules(rules, findings));
    return value.filter(rules -> findings.size() == before);
  }

  /** Parses the list of VMs. */
  public Optional<VmList> vms(byte[] content, List<Finding> findings) {
    int before = findings.size();
    Optional<VmList> value = read(DocumentName.VMS, content, new TypeReference<>() {}, findings);
    value.ifPresent(vms -> validator.checkVms(vms, findings));
    return value.filter(vms -> findings.size() == before);
  }

  private <T> Optional<T> read(
      DocumentName name, byte[] content, TypeReference<T> type, List<Finding> findings) {
    try {
      T value = mapper.readValue(content, type);
      if (value == null) {
        findings.add(new Finding(name.label(), "", "document is null"));
      }
      return Optional.ofNullable(value);
    } catch (JsonMappingException e) {
      findings.add(new Finding(name.label(), path(e), e.getOriginalMessage()));
    } catch (JsonProcessingException e) {
      findings.add(new Finding(name.label(), position(e.getLocation()), e.getOriginalMessage()));
    } catch (IOException e) {
      findings.add(new Finding(name.label(), "", e.getMessage()));
    }
    return Optional.empty();
  }

  private static String path(JsonMappingException e) {
    return e.getPath().stream()
        .map(
            step -> step.getFieldName() == null ? "[" + step.getIndex() + "]" : step.getFieldName())
        .collect(Collectors.joining("."));
  }

  private static String position(JsonLocation location) {
    return location == null
        ? ""
        : "line " + location.getLineNr() + ", column " + location.getColumnNr();
  }
}
