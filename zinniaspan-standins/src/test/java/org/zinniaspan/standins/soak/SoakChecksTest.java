package org.zinniaspan.standins.soak;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.zinniaspan.standins.site.EndpointStandIn;
import org.zinniaspan.standins.site.EndpointStandIn.Execution;

/** Each check reports an observation that violates its guarantee. */
class SoakChecksTest {

  private static ObservedCall call(String path, int status, String body) {
    return new ObservedCall("a-1", "a-1", path, "org-1", 1_000, status, body, true);
  }

  private static Execution execution(String endpoint, String organisation) {
    return new Execution(endpoint, "a-1", 0, organisation, "POST /x HTTP/1.1");
  }

  private static List<String> violations(ObservedCall call, Execution... executions) {
    return new SoakChecks(List.of(call), List.of(executions), Map.of()).violations();
  }

  @Test
  void acceptRequestsServedOnce() {
    ObservedCall plain = call("/unsafe/x", 200, EndpointStandIn.responseText("a-1"));
    assertThat(violations(plain, execution("i-1", "org-1"))).isEmpty();
    ObservedCall chat = call("/chat/x", 200, EndpointStandIn.responseStream("a-1", "v1"));
    assertThat(violations(chat, execution("i-1", "org-1"), execution("i-2", "org-1"))).isEmpty();
    assertThat(violations(call("/unsafe/x", 503, "{}"))).isEmpty();
    assertThat(violations(call("/unsafe/x", 504, "{}"), execution("i-1", "org-1"))).isEmpty();
  }

  @Test
  void findSecondExecutionOfUnsafeRequest() {
    ObservedCall served = call("/unsafe/x", 200, EndpointStandIn.responseText("a-1"));
    assertThat(violations(served, execution("i-1", "org-1"), execution("i-2", "org-1")).get(0))
        .contains("was executed 2 times; allowed at most 1");
  }

  @Test
  void findExecutionOfRequestReportedNotRun() {
    assertThat(violations(call("/safe/x", 503, "{}"), execution("i-1", "org-1")).get(0))
        .contains("was reported as not run but was executed by i-1");
  }

  @Test
  void findMissingAndDuplicateEvents() {
    String whole = EndpointStandIn.responseStream("a-1", "v1");
    String doubled = EndpointStandIn.responseStream("a-1", "v1") + "id: 6\ndata: a-1-6 v1\n\n";
    assertThat(violations(call("/chat/x", 200, whole.substring(20)), execution("i-1", "org-1")))
        .hasSize(1);
    assertThat(violations(call("/chat/x", 200, doubled), execution("i-1", "org-1"))).hasSize(1);
  }

  @Test
  void findEventsOfTwoVersionsInOneStream() {
    String first = EndpointStandIn.responseStream("a-1", "v1").substring(0, 44);
    assertThat(streamViolations(first, "v1")).isEmpty();
    assertThat(streamViolations(first, "v2").get(0)).contains("of the versions [");
  }

  /** Returns the violations of a stream whose last events a second attempt received. */
  private static List<String> streamViolations(String first, String software) {
    String rest = EndpointStandIn.responseStream("a-2", software);
    List<ObservedCall> calls =
        List.of(
            new ObservedCall("a-1", "a-1", "/chat/x", "org-1", 1_000, 200, first, false),
            new ObservedCall(
                "a-2", "a-1", "/chat/x", "org-1", 2_000, 200, rest.substring(44), true));
    return new SoakChecks(calls, List.of(), Map.of()).violations();
  }

  @Test
  void findExecutionForAnotherOrganisation() {
    ObservedCall served = call("/unsafe/x", 200, EndpointStandIn.responseText("a-1"));
    assertThat(violations(served, execution("i-1", "org-2")).get(0))
        .contains("organisation 'org-2'");
  }

  @Test
  void findExecutionWithRevokedKey() {
    ObservedCall late = new ObservedCall("a-1", "a-1", "/safe/x", "org-1", 9_001, 504, "{}", true);
    List<Execution> executions = List.of(execution("i-1", "org-1"));
    assertThat(
            new SoakChecks(List.of(late), executions, Map.of("org-1", 4_000L)).violations().get(0))
        .contains("was executed 1 ms after the revocation bound of its key");
    assertThat(new SoakChecks(List.of(late), executions, Map.of("org-1", 4_001L)).violations())
        .isEmpty();
  }

  @Test
  void findVersionRegressionAndMissingRecovery() {
    assertThat(SoakChecks.versionViolations("vm-1", List.of(3L, 4L, 4L))).isEmpty();
    assertThat(SoakChecks.versionViolations("vm-1", List.of(4L, 3L))).hasSize(1);
    assertThat(SoakChecks.recoveryViolations(List.of(call("/safe/x", 503, "{}")))).hasSize(1);
  }
}
