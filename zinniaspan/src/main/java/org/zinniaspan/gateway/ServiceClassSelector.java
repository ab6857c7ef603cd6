package org.zinniaspan.gateway;

import java.util.Optional;
import java.util.function.Supplier;
import org.zinniaspan.inventory.Rules;
import org.zinniaspan.inventory.ServiceClass;

/**
 * Selects the service class of a request: the one that the caller's header names, else the one that
 * the rules assign.
 */
final class ServiceClassSelector {

  private ServiceClassSelector() {}

  /** Result of a selection. */
  sealed interface Selection {
    record Selected(ServiceClass serviceClass) implements Selection {}

    record Invalid(String message) implements Selection {}
  }

  /**
   * Selects the class of a request.
   *
   * <p>A header must not override a non-idempotent class of the rules with an idempotent one,
   * because the request could then run twice.
   */
  static Selection select(
      Rules rules, Optional<String> requestedName, Supplier<Optional<ServiceClass>> byRule) {
    Optional<ServiceClass> classByRule = byRule.get();
    if (requestedName.isEmpty()) {
      return classByRule
          .<Selection>map(Selection.Selected::new)
          .orElseGet(
              () ->
                  new Selection.Invalid(
                      "no rule gives this request a class; " + validNames(rules)));
    }
    Optional<ServiceClass> requestedClass = rules.serviceClass(requestedName.get());
    if (requestedClass.isEmpty()) {
      return new Selection.Invalid(
          "class '" + requestedName.get() + "' is unknown; " + validNames(rules));
    }
    boolean allowsSecondRun =
        classByRule.map(ServiceClass::nonIdempotent).orElse(false)
            && !requestedClass.get().nonIdempotent();
    return allowsSecondRun
        ? new Selection.Invalid(
            "class '" + requestedName.get() + "' would let a non-idempotent request run twice")
        : new Selection.Selected(requestedClass.get());
  }

  private static String validNames(Rules rules) {
    return "valid are: "
        + String.join(", ", rules.classes().stream().map(ServiceClass::name).sorted().toList());
  }
}
