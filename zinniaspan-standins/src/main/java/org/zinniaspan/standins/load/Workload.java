package org.zinniaspan.standins.load;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.zinniaspan.standins.engine.EngineProfile;

/**
 * The mix of requests of one firm.
 *
 * @param name name of the firm and of its directory below {@code config}
 * @param service name of the plain service
 * @param models names of the models that the engines serve
 * @param kinds kinds of requests; their shares add up to 1
 */
record Workload(String name, String service, List<String> models, List<RequestKind> kinds) {

  private static final String COUNTER_MODEL = "counter-3b";
  private static final String DOSSIER_MODEL = "dossier-14b";
  private static final String DRAFT_MODEL = "draft-8b";
  private static final double MS_PER_SECOND = 1_000.0;

  static Workload placaLimpa() {
    return new Workload(
        "placa-limpa",
        "app",
        List.of(COUNTER_MODEL, DOSSIER_MODEL),
        List.of(
            RequestKind.chat("counter-question", 0.35, COUNTER_MODEL, 512, 200, 30),
            RequestKind.readCall("report-lookup", 0.18, "app/reports/1"),
            RequestKind.chat("dossier", 0.08, DOSSIER_MODEL, 1_024, 2_000, 200),
            RequestKind.chat("record-flagging", 0.25, COUNTER_MODEL, 512, 400, 24),
            RequestKind.keyedCall("credit-charge", 0.08, "app/charges"),
            RequestKind.keyedCall("consultation-registration", 0.06, "app/consultations")));
  }

  static Workload hebergeArmor() {
    return new Workload(
        "heberge-armor",
        "console",
        List.of(DRAFT_MODEL),
        List.of(
            RequestKind.readCall("status-read", 0.30, "console/status/1"),
            RequestKind.chat("page-draft", 0.14, DRAFT_MODEL, 1_024, 600, 150),
            RequestKind.chat("translation", 0.14, DRAFT_MODEL, 512, 1_500, 120),
            RequestKind.chat("alt-text", 0.30, DRAFT_MODEL, 256, 200, 24),
            RequestKind.keyedCall("deploy", 0.08, "console/deploys"),
            RequestKind.keyedCall("domain-change", 0.04, "console/domains")));
  }

  /**
   * Returns the workload of the named firm.
   *
   * @throws IllegalArgumentException if there is none
   */
  static Workload byName(String name) {
    for (Workload workload : List.of(placaLimpa(), hebergeArmor())) {
      if (workload.name.equals(name)) {
        return workload;
      }
    }
    throw new IllegalArgumentException(
        "firm '" + name + "' is unknown; valid are: placa-limpa, heberge-armor");
  }

  /** Returns the rules document of the firm, in JSON. */
  String rulesJson() throws IOException {
    String path = "/config/" + name + "/rules.json";
    try (InputStream in = Workload.class.getResourceAsStream(path)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** Returns the requests per second of this mix that use the whole time of that many engines. */
  double capacityPerSecond(EngineProfile engine, double engines) {
    double engineMs =
        kinds.stream().mapToDouble(kind -> kind.share() * kind.meanEngineMs(engine)).sum();
    return engines * MS_PER_SECOND / engineMs;
  }
}
