package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.STAMP;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.always;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.okResponse;
import static org.zinniaspan.standins.site.ForwardDaemonFixture.request;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * Entries of another writer among those of the endpoints.
 *
 * <p>Guards against an entry that ends or blocks the process, stops it from following the list, or
 * is taken for an endpoint.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class OddEntryTest {

  @RegisterExtension final ForwardDaemonFixture daemon = new ForwardDaemonFixture();

  private RawServer odd;

  @BeforeEach
  void start() throws IOException {
    odd = new RawServer((request, socket) -> true);
    daemon.first.setHandler(always(okResponse("a1", "first")));
    daemon.second.setHandler(always(okResponse("a1", "second")));
  }

  @AfterEach
  void stop() throws IOException {
    odd.close();
  }

  private List<String> oddEntries() {
    String entry = ForwardDaemonFixture.endpointEntry(odd, "zone-a", 1);
    List<String> entries = new ArrayList<>();
    for (String slots :
        new String[] {
          "0",
          "-3",
          "2147483647",
          "2147483648",
          "123456789012345678901234567890",
          "9".repeat(1_200),
          "1e999999999",
          "[".repeat(5_000) + "]".repeat(5_000),
        }) {
      entries.add(entry.replace("\"slots\":6", "\"slots\":" + slots));
    }
    for (String address : new String[] {"10.0.0.1:99999", "10.0.0.1:0", "10.0.0.999:80", "x:80"}) {
      entries.add(entry.replace(odd.address(), address));
    }
    entries.add(entry.replace("\"born\":1", "\"born\":1e999"));
    entries.add(entry.replace("\"v1\"", "\"" + "v".repeat(300_000) + "\""));
    entries.add("{\"a\":".repeat(5_000) + "1" + "}".repeat(5_000));
    entries.add("");
    entries.add("null");
    entries.add("\u0000\uffff");
    return entries;
  }

  private void checkServed(String entry) throws IOException {
    String described = entry.substring(0, Math.min(entry.length(), 160));
    for (String request :
        new String[] {request("GET", "/safe/x", "", ""), request("POST", "/unsafe/x", "", "b")}) {
      assertWithMessage(described).that(daemon.call(request)).startsWith("HTTP/1.1 200");
    }
    assertWithMessage(described).that(odd.requests()).isEmpty();
  }

  /** Checks that changes of sound entries are followed, which only the watch tells soon. */
  private void checkFollowed() throws IOException {
    daemon.store.delete("servers/i-1");
    String response = "";
    while (!response.endsWith("\r\n\r\nsecond")) {
      response = daemon.call(request("GET", "/safe/x", "", ""));
      assertThat(response).startsWith("HTTP/1.1 200");
    }
    daemon.putEndpointEntry("i-1", daemon.first, "zone-a");
    while (!response.endsWith("\r\n\r\nfirst")) {
      response = daemon.call(request("GET", "/safe/x", "", ""));
      assertThat(response).startsWith("HTTP/1.1 200");
    }
  }

  @Test
  void doNotHarmOthersInTheWatch() throws IOException {
    for (String entry : oddEntries()) {
      daemon.store.put("servers/odd", entry);
      checkFollowed();
      checkServed(entry);
    }
  }

  @Test
  void doNotHarmOthersInTheList() throws IOException {
    List<String> entries = oddEntries();
    daemon.store.setMode(StoreStandIn.Mode.BUSY);
    for (int number = 0; number < entries.size(); number++) {
      daemon.store.put("servers/odd-" + number, entries.get(number));
    }
    daemon.store.setMode(StoreStandIn.Mode.UP);
    checkFollowed();
    for (String entry : entries) {
      checkServed(entry);
    }
  }

  @Test
  void doNotBlockServicesWithRejectionLimit() throws IOException {
    String brittle = STAMP + "Server-Brittle: 1\r\n";
    daemon.first.setHandler(always(okResponse("a1", "first").replace(STAMP, brittle)));
    daemon.second.setHandler(always(okResponse("a1", "second").replace(STAMP, brittle)));
    assertThat(daemon.call(request("GET", "/safe/x", "", ""))).startsWith("HTTP/1.1 200");
    for (String slots : new String[] {"1312754386", "2147483647"}) {
      String entry = ForwardDaemonFixture.endpointEntry(odd, "zone-a", 1);
      daemon.store.put("servers/odd", entry.replace("\"slots\":6", "\"slots\":" + slots));
      checkFollowed();
    }
    assertThat(odd.requests()).isEmpty();
  }

  @Test
  @Timeout(value = 20, unit = TimeUnit.SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
  void doNotBlockServicesIfTheRejectionLimitIsOutOfBounds() throws IOException {
    for (String limit : new String[] {"2147483647", "4294967295", "999999999999999"}) {
      String brittle = STAMP + "Server-Brittle: " + limit + "\r\n";
      daemon.first.setHandler(always(okResponse("a1", "first").replace(STAMP, brittle)));
      for (int i = 0; i < 3; i++) {
        assertThat(daemon.call(request("GET", "/safe/x", "", ""))).startsWith("HTTP/1.1 200");
      }
    }
  }
}
