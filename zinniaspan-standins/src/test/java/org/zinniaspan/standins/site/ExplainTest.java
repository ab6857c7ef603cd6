package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.zinniaspan.cli.ExplainCommand;
import org.zinniaspan.http.Addresses;

/** The administration API of a forwarding daemon explains requests without sending them. */
@Timeout(60)
class ExplainTest {

  private static final String KNOWN =
      "{\"host\":\"h.example\",\"path\":\"/chat/1\",\"key\":\"key-1\"}";

  @RegisterExtension final ForwardDaemonFixture site = new ForwardDaemonFixture();

  private String call(InetSocketAddress address, String head, String body) throws IOException {
    try (RawClient client = new RawClient(address)) {
      client.send(
          head
              + " HTTP/1.1\r\nHost: admin\r\nConnection: close\r\nContent-Length: "
              + body.length()
              + "\r\n"
              + (address.equals(site.adminListen)
                  ? "Authorization: Bearer " + ForwardDaemonFixture.ADMIN_TOKEN + "\r\n"
                  : "")
              + "\r\n"
              + body);
      return client.readAll();
    }
  }

  private JsonNode explain(String query) throws IOException {
    String answer = call(site.adminListen, "POST /explain", query);
    assertThat(answer).startsWith("HTTP/1.1 200");
    assertThat(answer).doesNotContain("key-1");
    return new ObjectMapper().readTree(answer.substring(answer.indexOf("\r\n\r\n")));
  }

  /** Returns the counters of the daemon, without what passes by itself. */
  private List<String> counters() throws IOException {
    return call(site.metricsListen, "GET /metrics", "")
        .lines()
        .filter(line -> line.startsWith("zinniaspan_request") || line.contains("_cold_"))
        .toList();
  }

  @Nested
  class Answers {

    @Test
    void nameTheCheapestEndpointAndTheCostOfEach() throws IOException {
      JsonNode explanation = explain(KNOWN);
      assertThat(explanation.path("outcome").path("kind").asText()).isEqualTo("sent");
      assertThat(explanation.path("outcome").path("endpoint").asText()).isEqualTo("i-1");
      assertThat(explanation.path("route").path("name").asText()).isEqualTo("chat");
      assertThat(explanation.path("route").path("organisation").asText()).isEqualTo("org-1");
      assertThat(explanation.path("candidates")).hasSize(2);
      assertThat(explanation.at("/candidates/1/costMs/distance").asDouble()).isGreaterThan(0.0);
      assertThat(explanation.at("/agesMs/configuration").isNumber()).isTrue();
    }

    @Test
    void sendNothingAndChangeNoCounter() throws IOException {
      List<String> before = counters();
      for (int i = 0; i < 20; i++) {
        explain(KNOWN);
      }
      assertThat(counters()).isEqualTo(before);
      assertThat(site.first.requests()).isEmpty();
      assertThat(site.second.requests()).isEmpty();
    }

    @Test
    void nameTheRefusalOfAnUnknownKeyAndPath() throws IOException {
      JsonNode key = explain("{\"host\":\"h.example\",\"path\":\"/chat/1\",\"key\":\"other\"}");
      assertThat(key.at("/outcome/status").asInt()).isEqualTo(401);
      JsonNode path = explain("{\"host\":\"h.example\",\"path\":\"/none\",\"key\":\"other\"}");
      assertThat(path.at("/outcome/reason").asText()).isEqualTo("no-route");
    }
  }

  @Nested
  class WrongInput {

    @Test
    void isQuotedWithTheChoices() throws IOException {
      assertThat(call(site.adminListen, "GET /explain", ""))
          .contains("'GET /explain' is unknown; valid is POST /explain");
      assertThat(call(site.adminListen, "POST /explain", "{")).startsWith("HTTP/1.1 400");
      assertThat(
              call(
                  site.adminListen,
                  "POST /explain",
                  "{\"host\":\"h\",\"path\":\"/\",\"promptTokens\":-1}"))
          .contains("'promptTokens' is -1; it must be a whole number of at least 0");
    }

    @Test
    void isRejectedWithoutTheToken() throws IOException {
      try (RawClient client = new RawClient(site.adminListen)) {
        client.send("POST /explain HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
        assertThat(client.readUntil("Bearer TOKEN")).startsWith("HTTP/1.1 401");
      }
    }
  }

  @Nested
  class Command {

    private String run(String... arguments) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      ExplainCommand command = new ExplainCommand();
      com.beust.jcommander.JCommander.newBuilder().addObject(command).build().parse(arguments);
      int code = command.run(new PrintStream(out, true, StandardCharsets.UTF_8));
      return code + " " + out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void printsTheOutcomeForPeople() {
      String text =
          run(
              "--admin",
              Addresses.format(site.adminListen),
              "--admin-token",
              ForwardDaemonFixture.ADMIN_TOKEN,
              "--url",
              "http://h.example/chat/1",
              "--key",
              "key-1");
      assertThat(text).startsWith("0 Route         chat (streaming, rank ");
      assertThat(text).contains("to endpoint i-1");
      assertThat(text).doesNotContain("key-1");
    }

    @Test
    void rejectsPartsThatHaveNoLength() {
      assertThat(run("--admin-token", "t", "--url", "http://h/", "--parts", "a")).startsWith("2 ");
    }
  }
}
