package org.zinniaspan.gateway;

import java.util.Optional;
import java.util.function.Supplier;
import org.zinniaspan.inventory.Rules;
import org.zinniaspan.inventory.ServiceClass;

/** Chooses the class of a request: the caller's header first, then the rules. */
final class Classes {

  private Classes() {}

  sealed interface Choice {
    record Chosen(ServiceClass serviceClass) implements Choice {}

    record Unknown(String message) implements Choice {}
  }

  static Choice choose(
      Rules rules, Optional<String> header, Supplier<Optional<ServiceClass>> byRule) {
    Optional<ServiceClass> ruled = byRule.get();
    if (header.isEmpty()) {
      return ruled
          .<Choice>map(Choice.Chosen::new)
          .orElseGet(
              () -> new Choice.Unknown("no rule gives this request a class; " + valid(rules)));
    }
    Optional<ServiceClass> named = rules.serviceClass(header.get());
    if (named.isEmpty()) {
      return new Choice.Unknown("class '" + header.get() + "' is unknown; " + valid(rules));
    }
    boolean loosens =
        ruled.map(ServiceClass::nonIdempotent).orElse(false) && !named.get().nonIdempotent();
    return loosens
        ? new Choice.Unknown(
            "class '" + header.get() + "' would let a non-idempotent request run twice")
        : new Choice.Chosen(named.get());
  }

  private static String valid(Rules rules) {
    return "valid are: "
        + String.join(", ", rules.classes().stream().map(ServiceClass::name).sorted().toList());
  }
}
