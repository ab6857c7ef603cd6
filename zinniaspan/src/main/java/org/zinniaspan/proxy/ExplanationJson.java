package org.zinniaspan.proxy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Map;
import org.zinniaspan.forwarding.Explanation;
import org.zinniaspan.forwarding.OrganisationSpec;
import org.zinniaspan.forwarding.RouteDecision;

/** Encodes an explanation as JSON; API keys are not part of it. */
final class ExplanationJson {

  private ExplanationJson() {}

  /** Returns the JSON for an explanation. */
  static ObjectNode of(ObjectMapper mapper, Explanation explanation) {
    ObjectNode root = mapper.createObjectNode();
    explanation.route().ifPresent(routed -> putRoute(root.putObject("route"), routed));
    putOutcome(root.putObject("outcome"), explanation.outcome());
    explanation.homeRegions().forEach(root.putArray("homeRegions")::add);
    explanation.evacuatedZones().forEach(root.putArray("evacuatedZones")::add);
    ObjectNode ages = root.putObject("agesMs");
    explanation.ages().forEach((name, age) -> ages.put(name, age.orElse(null)));
    for (Explanation.Candidate candidate : explanation.candidates()) {
      putCandidate(root.withArray("candidates").addObject(), candidate);
    }
    return root;
  }

  private static void putRoute(ObjectNode node, RouteDecision.Routed routed) {
    node.put("name", routed.route().name());
    node.put("kind", routed.route().kind().name().toLowerCase(Locale.ROOT));
    node.put("service", routed.service());
    node.put("rank", routed.rank());
    node.put("version", routed.version());
    routed.organisation().map(OrganisationSpec::name).ifPresent(n -> node.put("organisation", n));
  }

  private static void putOutcome(ObjectNode node, Explanation.Outcome outcome) {
    if (outcome instanceof Explanation.Outcome.Sent sent) {
      node.put("kind", "sent");
      node.put("endpoint", sent.endpoint());
      node.put("expectedMs", sent.expectedMs());
    } else if (outcome instanceof Explanation.Outcome.Relayed relayed) {
      node.put("kind", "relayed");
      node.put("vm", relayed.vm());
    } else if (outcome instanceof Explanation.Outcome.Waiting waiting) {
      node.put("kind", "waiting");
      node.put("reason", waiting.reason());
      node.put("remainingMs", waiting.remainingMs());
    } else if (outcome instanceof Explanation.Outcome.Refused refused) {
      node.put("kind", "refused");
      node.put("status", refused.status());
      node.put("reason", refused.reason());
      refused.retryAfterMs().ifPresent(ms -> node.put("retryAfterMs", ms));
    }
  }

  private static void putCandidate(ObjectNode node, Explanation.Candidate candidate) {
    node.put("endpoint", candidate.endpoint());
    node.put("zone", candidate.zone());
    candidate.reportAgeMs().ifPresent(ms -> node.put("reportAgeMs", ms));
    if (candidate.exclusion().isPresent()) {
      node.put("exclusion", candidate.exclusion().get());
      return;
    }
    node.put("totalMs", candidate.totalMs());
    ObjectNode costs = node.putObject("costMs");
    for (Map.Entry<String, Double> cost : candidate.costMs().entrySet()) {
      costs.put(cost.getKey(), cost.getValue());
    }
  }
}
