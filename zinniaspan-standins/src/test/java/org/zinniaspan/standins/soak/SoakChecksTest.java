package org.zinniaspan.standins.soak;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.zinniaspan.standins.site.EndpointStandIn;
import org.zinniaspan.standins.site.EndpointStandIn.Run;

/** Each check is seen to fail on an observation that breaks its promise. */
class SoakChecksTest {

  private static Call call(String path, int status, String body) {
    return new Call("a-1", path, "org-1", 1_000, status, Optional.ofNullable(body));
  }

  private static Run run(String endpoint, String organisation) {
    return new Run(endpoint, "a-1", 0, organisation, "POST /x HTTP/1.1");
  }

  private static List<String> broken(Call call, Run... runs) {
    return new SoakChecks(List.of(call), List.of(runs), Map.of()).broken();
  }

  @Test
  void passWhatWasServedOnce() {
    Call plain = call("/unsafe/x", 200, EndpointStandIn.text("a-1"));
    assertThat(broken(plain, run("i-1", "org-1"))).isEmpty();
    Call chat = call("/chat/x", 200, EndpointStandIn.stream("a-1"));
    assertThat(broken(chat, run("i-1", "org-1"), run("i-2", "org-1"))).isEmpty();
    assertThat(broken(call("/unsafe/x", 503, "{}"))).isEmpty();
    assertThat(broken(call("/unsafe/x", 504, "{}"), run("i-1", "org-1"))).isEmpty();
  }

  @Test
  void findOneSecondRunOfAnUnsafeRequest() {
    Call served = call("/unsafe/x", 200, EndpointStandIn.text("a-1"));
    assertThat(broken(served, run("i-1", "org-1"), run("i-2", "org-1")).get(0))
        .contains("ran 2 times; allowed are 1");
  }

  @Test
  void findOneRunThatWasSaidNotToBe() {
    assertThat(broken(call("/safe/x", 503, "{}"), run("i-1", "org-1")).get(0))
        .contains("was said not to have run, and ran on i-1");
  }

  @Test
  void findMissingAndDoubledEvents() {
    String whole = EndpointStandIn.stream("a-1");
    String doubled = EndpointStandIn.stream("a-1") + "id: 6\ndata: a-1-6\n\n";
    assertThat(broken(call("/chat/x", 200, whole.substring(20)), run("i-1", "org-1"))).hasSize(1);
    assertThat(broken(call("/chat/x", 200, doubled), run("i-1", "org-1"))).hasSize(1);
  }

  @Test
  void findOneRunForAnotherOrganisation() {
    Call served = call("/unsafe/x", 200, EndpointStandIn.text("a-1"));
    assertThat(broken(served, run("i-1", "org-2")).get(0)).contains("organisation 'org-2'");
  }

  @Test
  void findOneRunWithOneKeyThatHadEnded() {
    Call late = new Call("a-1", "/safe/x", "org-1", 9_001, 504, Optional.of("{}"));
    List<Run> runs = List.of(run("i-1", "org-1"));
    assertThat(new SoakChecks(List.of(late), runs, Map.of("org-1", 4_000L)).broken().get(0))
        .contains("ran 1 ms after its key had to end");
    assertThat(new SoakChecks(List.of(late), runs, Map.of("org-1", 4_001L)).broken()).isEmpty();
  }

  @Test
  void findVersionsThatGoBackAndServiceThatDoesNotComeBack() {
    assertThat(SoakChecks.versions("vm-1", List.of(3L, 4L, 4L))).isEmpty();
    assertThat(SoakChecks.versions("vm-1", List.of(4L, 3L))).hasSize(1);
    assertThat(SoakChecks.recovery(List.of(call("/safe/x", 503, "{}")))).hasSize(1);
  }
}
