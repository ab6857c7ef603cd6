package org.zinniaspan.inventory;

import java.util.List;
import java.util.Optional;

/**
 * The operators' rules: the service classes and the assignment of requests to them.
 *
 * @param classes service classes
 * @param assign assignment rules in order of precedence; the first match applies
 * @param defaultChatClass name of the class of chat requests that no rule matches; empty if there
 *     is none
 */
public record Rules(List<ServiceClass> classes, List<ClassRule> assign, String defaultChatClass) {

  /** Applies the defaults of absent fields. */
  public Rules {
    classes = classes == null ? List.of() : List.copyOf(classes);
    assign = assign == null ? List.of() : List.copyOf(assign);
    defaultChatClass = defaultChatClass == null ? "" : defaultChatClass;
  }

  /** Returns the service class of the given name. */
  public Optional<ServiceClass> serviceClass(String name) {
    return classes.stream().filter(c -> c.name().equals(name)).findFirst();
  }

  /**
   * Returns the class of a chat request that does not name one; empty if no rule matches and there
   * is no default.
   */
  public Optional<ServiceClass> classOfChat(String model, String organisation) {
    return assign.stream()
        .filter(rule -> rule.matchesChat(model, organisation))
        .findFirst()
        .map(ClassRule::serviceClass)
        .or(() -> Optional.of(defaultChatClass))
        .flatMap(this::serviceClass);
  }

  /**
   * Returns the class of a call to a plain service that does not name one; empty if no rule
   * matches.
   */
  public Optional<ServiceClass> classOfCall(
      String service, String method, String path, String organisation) {
    return assign.stream()
        .filter(rule -> rule.matchesCall(service, method, path, organisation))
        .findFirst()
        .flatMap(rule -> serviceClass(rule.serviceClass()));
  }
}
