package org.zinniaspan.standins;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.standins.caller.CallerClient;
import org.zinniaspan.standins.caller.CallerClient.ChatRequest;
import org.zinniaspan.standins.caller.CallerClient.ServiceRequest;
import org.zinniaspan.standins.caller.CallerResult;
import org.zinniaspan.standins.fleet.FleetSpec;
import org.zinniaspan.standins.fleet.LocalFleet;

/** Serves requests end to end through separate processes on the loopback interface. */
class EndToEndProcessTest {

  private static final String ZONE = "recife-a";
  private static final CallerClient CALLER = new CallerClient(LocalFleet.ORGANISATION_KEY);
  private static LocalFleet fleet;

  @BeforeAll
  static void start() throws IOException {
    String rules = Files.readString(Path.of("..", "config", "placa-limpa", "rules.json"));
    fleet =
        LocalFleet.start(
            new FleetSpec()
                .zone(ZONE, 2)
                .models("counter-3b", "other-3b")
                .engine("engine-1", ZONE)
                .engine("engine-2", ZONE)
                .service("app-1", ZONE, "app")
                .document("rules", rules),
            Path.of("target", "fleet", "whole-path"));
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  private static InetSocketAddress entry(int number) {
    return fleet.entries().get(ZONE + "-" + number).callerAddress();
  }

  private static CallerResult chat(int entry, String model, boolean stream) {
    ChatRequest request = new ChatRequest(model, "hello #tokens=12", Optional.empty(), stream);
    return CALLER.chat(entry(entry), request);
  }

  @Nested
  class Chat {
    @Test
    void streamedAndWholeAnswersAreTheSameThroughEitherEntry() {
      CallerResult streamed = chat(1, "counter-3b", true);
      CallerResult whole = chat(2, "counter-3b", false);
      assertThat(streamed.isAnswered()).isTrue();
      assertThat(streamed.tokens()).isEqualTo(12);
      assertThat(whole.outcome()).isEqualTo("answered");
      assertThat(whole.text()).contains(streamed.text());
    }

    /** Common client libraries set only a base URL and a key, and so send no class. */
    @Test
    void chatWithoutClassOrModelRuleGetsTheDefaultClass() {
      assertThat(chat(1, "other-3b", false).isAnswered()).isTrue();
    }

    @Test
    void modelsAreListed() {
      CallerResult result = CALLER.raw(entry(1), "GET", "/v1/models", "");
      assertThat(result.text()).contains("\"id\":\"counter-3b\"");
    }
  }

  @Nested
  class Calls {
    @Test
    void chargeReachesTheService() {
      ServiceRequest request =
          new ServiceRequest("POST", "app/charges", "{}", Optional.of("whole-path-1"));
      CallerResult result = CALLER.call(entry(1), request);
      assertThat(result.status()).isEqualTo(200);
      assertThat(result.text()).contains("\"runs\":1");
    }
  }

  @Nested
  class BadInput {
    @Test
    void unknownModelNamesTheValidOnes() {
      CallerResult result = chat(1, "no-such-model", false);
      assertThat(result.status()).isEqualTo(404);
      assertThat(result.text()).contains("valid are: counter-3b, other-3b");
    }

    @Test
    void malformedJsonIsRefusedAndTheNextRequestIsServed() {
      CallerResult result = CALLER.raw(entry(1), "POST", "/v1/chat/completions", "{\"a\":");
      assertThat(result.status()).isEqualTo(400);
      assertThat(result.outcome()).isEqualTo("not-run");
      assertThat(chat(1, "counter-3b", false).isAnswered()).isTrue();
    }

    @Test
    void nonBooleanStreamIsRefused() {
      String body =
          "{\"model\":\"counter-3b\",\"stream\":\"yes please\","
              + "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
      CallerResult result = CALLER.raw(entry(1), "POST", "/v1/chat/completions", body);
      assertThat(result.status()).isEqualTo(400);
      assertThat(result.text()).contains("'stream' is \\\"yes please\\\"; valid are: true, false");
    }

    @Test
    void unknownOrganisationIsRefused() {
      CallerResult result = new CallerClient("wrong").raw(entry(1), "GET", "/v1/models", "");
      assertThat(result.status()).isEqualTo(401);
    }

    @Test
    void unknownClassNamesTheValidOnes() {
      ChatRequest request = new ChatRequest("counter-3b", "x", Optional.of("gold"), false);
      CallerResult result = CALLER.chat(entry(1), request);
      assertThat(result.status()).isEqualTo(400);
      assertThat(result.text()).contains("class 'gold' is unknown; valid are:");
    }

    @Test
    void oversizedBodyIsRefused() {
      String body = "{\"model\":\"" + "x".repeat(2 * 1024 * 1024) + "\"}";
      CallerResult result = CALLER.raw(entry(1), "POST", "/v1/chat/completions", body);
      assertThat(result.status()).isEqualTo(413);
    }
  }
}
