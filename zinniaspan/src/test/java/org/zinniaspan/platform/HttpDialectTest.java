package org.zinniaspan.platform;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.zinniaspan.forwarding.Prompt;
import org.zinniaspan.forwarding.PromptPart;
import org.zinniaspan.forwarding.RequestFacts;
import org.zinniaspan.forwarding.StreamResume;
import org.zinniaspan.http.RequestTargets;
import org.zinniaspan.proxy.Dialect;

class HttpDialectTest {

  private final HttpDialect dialect = new HttpDialect();
  private final HttpRequest request = new BasicHttpRequest("POST", "/chat/x?q=1");

  private Dialect.EndpointCall endpointCall() {
    return new Dialect.EndpointCall(
        "i-1", Optional.of("org-1"), true, Optional.of(700L), Optional.of(3), Optional.of("5"), 4);
  }

  /** Returns a text of which each character is one byte of the given text in UTF-8. */
  private static String latin1OfUtf8(String text) {
    return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  @Nested
  class RequestsOfClients {

    @Test
    void carryTheirPrompt() {
      request.addHeader("Host", "h.example");
      request.addHeader("X-Zinniaspan-Token-Usage", "1460,80");
      request.addHeader("X-Zinniaspan-Prefix-Hash", "5c1e07a2:800, 91bd3f06:410");
      RequestFacts facts = dialect.requestFacts(request);
      assertThat(facts.path()).isEqualTo("/chat/x");
      assertThat(facts.prompt())
          .hasValue(
              new Prompt(
                  1460,
                  80,
                  List.of(new PromptPart("5c1e07a2", 800), new PromptPart("91bd3f06", 410))));
    }

    @Test
    void haveNoPromptIfItCannotBeRead() {
      request.addHeader("X-Zinniaspan-Token-Usage", "many");
      assertThat(dialect.requestFacts(request).prompt()).isEmpty();
    }

    @Test
    void carryTheirKeyOnlyInTheBearerScheme() {
      request.addHeader("Authorization", "bearer  key-1 ");
      assertThat(dialect.requestFacts(request).apiKey()).hasValue("key-1");
      request.setHeader("Authorization", "Basic abc");
      assertThat(dialect.requestFacts(request).apiKey()).isEmpty();
    }

    @Test
    void carryTheirKeyInUtf8OrLatin1() {
      request.addHeader("Authorization", "Bearer " + latin1OfUtf8("clé"));
      assertThat(dialect.requestFacts(request).apiKey()).hasValue("clé");
      request.setHeader("Authorization", "Bearer clé");
      assertThat(dialect.requestFacts(request).apiKey()).hasValue("clé");
    }

    @Test
    void nameTheStreamThatTheyResume() {
      assertThat(dialect.requestFacts(request).resume()).isEmpty();
      request.addHeader("Last-Event-Id", "5");
      assertThat(dialect.requestFacts(request).resume())
          .hasValue(new StreamResume("5", Optional.empty()));
      request.addHeader("Resumes", "a1");
      assertThat(dialect.requestFacts(request).resume())
          .hasValue(new StreamResume("5", Optional.of("a1")));
    }

    @Test
    void haveNoDeadlineIfItIsNoWholeNumber() {
      request.addHeader("X-Zinniaspan-Deadline-Ms", "-5");
      assertThat(dialect.requestFacts(request).deadlineMs()).isEmpty();
    }
  }

  @Nested
  class RequestsToEndpoints {

    /** Guards against the first part of a path being taken for a host. */
    @ParameterizedTest
    @ValueSource(strings = {"//shop/act/x?q=1", "///x", "/a//b", "/a#b", "/a%2Fb?c=%20//d"})
    void haveThePathOfTheClient(String path) {
      HttpRequest head = RequestTargets.request("POST", path);
      head.addHeader("Host", "h.example");
      assertThat(dialect.requestFacts(head).path()).isEqualTo(path.split("[?]")[0]);
      assertThat(dialect.endpointRequest(head, endpointCall()).getRequestUri()).isEqualTo(path);
      Dialect.RelayCall relayCall = new Dialect.RelayCall(Optional.empty(), Optional.empty(), 0);
      assertThat(dialect.relayRequest(head, relayCall).getRequestUri()).isEqualTo(path);
    }

    @Test
    void nameTheOrganisationAndTheEndpointInUtf8() {
      Dialect.EndpointCall call =
          new Dialect.EndpointCall(
              "i-上",
              Optional.of("Cœur d’Armor"),
              true,
              Optional.of(700L),
              Optional.empty(),
              Optional.empty(),
              0);
      HttpRequest forwarded = dialect.endpointRequest(request, call);
      assertThat(forwarded.getFirstHeader("X-Zinniaspan-Tenant").getValue())
          .isEqualTo(latin1OfUtf8("Cœur d’Armor"));
      assertThat(forwarded.getFirstHeader("X-Zinniaspan-Expect-Instance").getValue())
          .isEqualTo(latin1OfUtf8("i-上"));
    }

    @Test
    void dropConnectionHeaders() {
      request.addHeader("Connection", "close, X-Hop");
      request.addHeader("X-Hop", "1");
      request.addHeader("Transfer-Encoding", "chunked");
      HttpRequest sent = dialect.endpointRequest(request, endpointCall());
      assertThat(sent.containsHeader("X-Hop")).isFalse();
      assertThat(sent.containsHeader("Connection")).isFalse();
      assertThat(sent.containsHeader("Transfer-Encoding")).isFalse();
      assertThat(sent.getFirstHeader("Content-Length").getValue()).isEqualTo("4");
    }

    @Test
    void replaceRouterHeaders() {
      request.addHeader("x-zinniaspan-tenant", "forged");
      request.addHeader("X-Zinniaspan-Request-Priority", "0");
      request.addHeader("Kv-From", "10.0.0.1:80/1");
      request.addHeader("Last-Event-Id", "1");
      HttpRequest sent = dialect.endpointRequest(request, endpointCall());
      assertThat(sent.getHeaders("X-Zinniaspan-Tenant")).hasLength(1);
      assertThat(sent.getFirstHeader("X-Zinniaspan-Tenant").getValue()).isEqualTo("org-1");
      assertThat(sent.getFirstHeader("X-Zinniaspan-Request-Priority").getValue()).isEqualTo("3");
      assertThat(sent.containsHeader("Kv-From")).isFalse();
      assertThat(sent.getFirstHeader("Last-Event-Id").getValue()).isEqualTo("5");
    }
  }

  @Nested
  class Responses {

    private final HttpResponse response = new BasicHttpResponse(503);

    @Test
    void reportNotRunOnlyIfStated() {
      assertThat(dialect.responseFacts(response).notRun()).isFalse();
      response.addHeader("X-Zinniaspan-Not-Executed", "1");
      assertThat(dialect.responseFacts(response).notRun()).isTrue();
    }

    @Test
    void reportNotRunWithStatus421() {
      assertThat(dialect.responseFacts(new BasicHttpResponse(421)).notRun()).isTrue();
    }

    @Test
    void giveRetryAfterInSeconds() {
      HttpResponse localResponse =
          dialect.localResponse(503, Optional.of("a1"), Optional.of(1_250L));
      assertThat(localResponse.getFirstHeader("Retry-After").getValue()).isEqualTo("1.25");
      assertThat(localResponse.getFirstHeader("X-Zinniaspan-Attempt-Id").getValue())
          .isEqualTo("a1");
    }
  }
}
