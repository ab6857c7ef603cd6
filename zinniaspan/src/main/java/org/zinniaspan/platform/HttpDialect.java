package org.zinniaspan.platform;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.zinniaspan.forwarding.Prompt;
import org.zinniaspan.forwarding.PromptPart;
import org.zinniaspan.forwarding.RequestFacts;
import org.zinniaspan.forwarding.StreamResume;
import org.zinniaspan.http.RequestTargets;
import org.zinniaspan.log.EventLog;
import org.zinniaspan.proxy.Dialect;
import org.zinniaspan.proxy.RelayHeaders;
import org.zinniaspan.transport.HeaderText;

/** Translates message heads from and to the platform's HTTP headers. */
public final class HttpDialect implements Dialect {

  private static final String BEARER_PREFIX = "bearer ";
  private static final double MS_PER_SECOND = 1_000.0;

  /**
   * Hop-by-hop headers, and others that apply to a single connection or message, in lower case.
   * They are not forwarded.
   */
  private static final Set<String> CONNECTION_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "content-length",
          "upgrade",
          "expect");

  /** Headers that only the router may set, in lower case; those that a client sends are dropped. */
  private static final Set<String> ROUTER_HEADERS =
      Set.of(
          lowerCase(HeaderNames.DEADLINE_MS),
          lowerCase(HeaderNames.EXPECT_INSTANCE),
          lowerCase(HeaderNames.TENANT),
          lowerCase(HeaderNames.REQUEST_PRIORITY),
          lowerCase(HeaderNames.EXPECT_VERSION),
          lowerCase(HeaderNames.HOLD),
          lowerCase(HeaderNames.PIN_MS),
          lowerCase(HeaderNames.KV_BACKUP),
          lowerCase(HeaderNames.KV_FROM),
          lowerCase(HeaderNames.KV_FETCH));

  @Override
  public RequestFacts requestFacts(HttpRequest head) {
    String target = head.getPath();
    int query = target.indexOf('?');
    return new RequestFacts(
        headerValue(head, HeaderNames.ATTEMPT_ID),
        host(head),
        query < 0 ? target : target.substring(0, query),
        headerValue(head, HttpHeaders.AUTHORIZATION).flatMap(HttpDialect::bearerToken),
        headerValue(head, HeaderNames.DEADLINE_MS).flatMap(HttpDialect::wholeNumber),
        headerValue(head, HeaderNames.TOKEN_USAGE).flatMap(usage -> prompt(head, usage)),
        headerValue(head, HeaderNames.LAST_EVENT_ID)
            .map(id -> new StreamResume(id, headerValue(head, HeaderNames.RESUMES))));
  }

  @Override
  public HttpRequest endpointRequest(HttpRequest clientHead, EndpointCall call) {
    HttpRequest request = RequestTargets.request(clientHead.getMethod(), clientHead.getPath());
    Set<String> dropped = connectionHeaders(clientHead);
    for (Header header : clientHead.getHeaders()) {
      String name = lowerCase(header.getName());
      boolean credentials = call.dropCredentials() && name.equals("authorization");
      boolean replaced =
          call.lastEventId().isPresent() && name.equals(lowerCase(HeaderNames.LAST_EVENT_ID));
      if (!dropped.contains(name)
          && !ROUTER_HEADERS.contains(name)
          && !RelayHeaders.contains(name)
          && !name.equals("host")
          && !credentials
          && !replaced) {
        request.addHeader(header);
      }
    }
    request.setHeader(HttpHeaders.HOST, host(clientHead));
    request.setHeader(HeaderNames.EXPECT_INSTANCE, HeaderText.encode(call.endpointId()));
    call.organisation()
        .ifPresent(name -> request.setHeader(HeaderNames.TENANT, HeaderText.encode(name)));
    call.deadlineMs().ifPresent(ms -> request.setHeader(HeaderNames.DEADLINE_MS, ms));
    call.priority().ifPresent(rank -> request.setHeader(HeaderNames.REQUEST_PRIORITY, rank));
    call.lastEventId().ifPresent(id -> request.setHeader(HeaderNames.LAST_EVENT_ID, id));
    if (call.bodyBytes() > 0 || clientHead.containsHeader(HttpHeaders.CONTENT_LENGTH)) {
      request.setHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(call.bodyBytes()));
    }
    return request;
  }

  @Override
  public HttpRequest relayRequest(HttpRequest clientHead, RelayCall call) {
    HttpRequest request = RequestTargets.request(clientHead.getMethod(), clientHead.getPath());
    Set<String> dropped = connectionHeaders(clientHead);
    for (Header header : clientHead.getHeaders()) {
      String name = lowerCase(header.getName());
      if (!dropped.contains(name) && !RelayHeaders.contains(name) && !name.equals("host")) {
        request.addHeader(header);
      }
    }
    request.setHeader(HttpHeaders.HOST, host(clientHead));
    call.deadlineMs().ifPresent(ms -> request.setHeader(HeaderNames.DEADLINE_MS, ms));
    call.resume()
        .ifPresent(
            resume -> {
              request.setHeader(HeaderNames.LAST_EVENT_ID, resume.lastEventId());
              resume.firstAttemptId().ifPresent(id -> request.setHeader(HeaderNames.RESUMES, id));
            });
    if (call.bodyBytes() > 0 || clientHead.containsHeader(HttpHeaders.CONTENT_LENGTH)) {
      request.setHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(call.bodyBytes()));
    }
    return request;
  }

  @Override
  public ResponseFacts responseFacts(HttpResponse head) {
    boolean notRun =
        head.containsHeader(HeaderNames.NOT_EXECUTED)
            || head.getCode() == HttpStatus.SC_MISDIRECTED_REQUEST;
    return new ResponseFacts(
        headerValue(head, HeaderNames.ATTEMPT_ID),
        head.containsHeader(HeaderNames.SERVER_STAMP),
        notRun,
        head.containsHeader(HttpHeaders.CONTENT_ENCODING),
        headerValue(head, HttpHeaders.RETRY_AFTER).flatMap(HttpDialect::secondsInMs),
        head.containsHeader(HeaderNames.SERVER_LEAVING),
        headerValue(head, HeaderNames.SERVER_BRITTLE)
            .flatMap(HttpDialect::wholeNumber)
            .map(limit -> (int) Math.min(limit, Integer.MAX_VALUE)),
        headerValue(head, HeaderNames.SERVER_LIMIT).flatMap(HttpDialect::decimalNumber),
        headerValue(head, HeaderNames.COLD_MS)
            .flatMap(HttpDialect::decimalNumber)
            .map(ms -> (long) Math.ceil(ms)));
  }

  @Override
  public HttpResponse clientResponse(HttpResponse endpointHead) {
    HttpResponse response = new BasicHttpResponse(endpointHead.getCode());
    Set<String> dropped = connectionHeaders(endpointHead);
    for (Header header : endpointHead.getHeaders()) {
      if (!dropped.contains(lowerCase(header.getName()))
          && !RelayHeaders.contains(header.getName())) {
        response.addHeader(header);
      }
    }
    return response;
  }

  @Override
  public HttpResponse localResponse(
      int status, Optional<String> attemptId, Optional<Long> retryAfterMs) {
    HttpResponse response = new BasicHttpResponse(status);
    response.setHeader(HttpHeaders.CONTENT_TYPE, "application/json");
    attemptId.ifPresent(id -> response.setHeader(HeaderNames.ATTEMPT_ID, id));
    retryAfterMs.ifPresent(
        ms ->
            response.setHeader(
                HttpHeaders.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", ms / MS_PER_SECOND)));
    return response;
  }

  private static Set<String> connectionHeaders(HttpMessage head) {
    Set<String> names = new HashSet<>(CONNECTION_HEADERS);
    for (Header header : head.getHeaders(HttpHeaders.CONNECTION)) {
      for (String name : header.getValue().split(",")) {
        names.add(lowerCase(name.trim()));
      }
    }
    return names;
  }

  private static String host(HttpRequest head) {
    return headerValue(head, HttpHeaders.HOST)
        .or(() -> Optional.ofNullable(head.getAuthority()).map(Object::toString))
        .orElse("");
  }

  private static Optional<String> bearerToken(String authorization) {
    return lowerCase(authorization).startsWith(BEARER_PREFIX)
        ? Optional.of(HeaderText.decode(authorization.substring(BEARER_PREFIX.length()).trim()))
        : Optional.empty();
  }

  private static Optional<Prompt> prompt(HttpRequest head, String usage) {
    String[] counts = usage.split(",");
    Optional<Long> tokens = wholeNumber(counts[0].trim());
    if (counts.length != 2 || tokens.isEmpty()) {
      EventLog.event("prompt-unreadable").with("usage", usage).info();
      return Optional.empty();
    }
    long output = wholeNumber(counts[1].trim()).orElse(0L);
    List<PromptPart> parts = new ArrayList<>();
    for (String part : headerValue(head, HeaderNames.PREFIX_HASH).orElse("").split(",")) {
      String[] fields = part.trim().split(":");
      if (fields.length == 2) {
        wholeNumber(fields[1]).ifPresent(n -> parts.add(new PromptPart(fields[0], n)));
      }
    }
    return Optional.of(new Prompt(tokens.get(), output, parts));
  }

  private static Optional<String> headerValue(HttpMessage head, String name) {
    return Optional.ofNullable(head.getFirstHeader(name)).map(Header::getValue).map(String::trim);
  }

  private static Optional<Long> wholeNumber(String text) {
    return text.matches("[0-9]{1,15}") ? Optional.of(Long.parseLong(text)) : Optional.empty();
  }

  private static Optional<Long> secondsInMs(String text) {
    return decimalNumber(text).map(seconds -> Math.round(seconds * MS_PER_SECOND));
  }

  private static Optional<Double> decimalNumber(String text) {
    return text.matches("[0-9]{1,6}([.][0-9]{1,6})?")
        ? Optional.of(Double.parseDouble(text))
        : Optional.empty();
  }

  private static String lowerCase(String text) {
    return text.toLowerCase(Locale.ROOT);
  }
}
