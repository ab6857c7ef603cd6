package org.zinniaspan.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Prints where a daemon would send a request now, and why, without sending it; or the recent events
 * that it logged about a past request.
 *
 * <p>Example: {@code zinniaspan explain --admin 10.1.0.40:9465 --url http://h.example/chat/1 --key
 * KEY --prompt-tokens 1460 --output-tokens 80 --parts 5c1e07a2:800,e4402b7d:660}
 */
@Parameters(
    commandDescription =
        "Show where a request would go now, and why, without sending it; or the events of a past"
            + " request.")
public final class ExplainCommand implements Command {

  private static final Set<String> METHODS =
      Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

  private static final Pattern PART = Pattern.compile("[^:,\\s]+:[0-9]{1,15}");

  private static final int UNSET = -1;

  private final ObjectMapper mapper = new ObjectMapper();

  @Parameter(names = "--help", help = true, description = "Show this help.")
  boolean help;

  @Parameter(names = "--admin", description = "Address of the daemon's administration API.")
  String admin = "127.0.0.1:8082";

  @Parameter(names = "--admin-token", description = "Token of the administration API.")
  String token = "";

  @Parameter(
      names = "--request-id",
      description = "Past request: value of the response's X-Request-Id header.")
  String requestId = "";

  @Parameter(names = "--method", description = "Method of the request.")
  String method = "POST";

  @Parameter(names = "--url", description = "URL of the request, as http://HOST/PATH.")
  String url = "";

  @Parameter(
      names = "--key",
      description = "API key of the request; better given as ZINNIASPAN_KEY, which no list shows.")
  String key = "";

  @Parameter(
      names = "--prompt-tokens",
      description = "Length of the prompt in tokens, for a model service.")
  long promptTokens = UNSET;

  @Parameter(names = "--output-tokens", description = "Maximum length of the output in tokens.")
  long outputTokens = 0;

  @Parameter(
      names = "--parts",
      description = "Parts of the prompt in order, as ID:TOKENS, separated by commas.")
  String parts = "";

  @Parameter(
      names = "--deadline-ms",
      description = "How long the client waits, in milliseconds; the route's timeout if not given.")
  long deadlineMs = UNSET;

  @Parameter(names = "--json", description = "Print the answer as JSON.")
  boolean json;

  @Override
  public boolean isHelp() {
    return help;
  }

  @Override
  public int run(PrintStream out) {
    if (!requestId.isBlank()) {
      return StatusCommand.print(out, admin, token, "/explain/" + requestId);
    }
    SettingsChecks checks = check();
    if (!checks.findings().isEmpty()) {
      checks.findings().forEach(System.err::println);
      return Main.EXIT_USAGE;
    }
    try {
      String answer = AdminClient.post(admin, token, "/explain", query().toString());
      JsonNode explanation = mapper.readTree(answer);
      out.println(json ? explanation.toPrettyString() : ExplanationText.of(explanation));
      return Main.EXIT_OK;
    } catch (IOException e) {
      System.err.println("zinniaspan: " + e.getMessage());
      return Main.EXIT_FAILURE;
    }
  }

  private SettingsChecks check() {
    SettingsChecks checks = new SettingsChecks();
    checks.address("--admin", admin);
    checks.required("--admin-token", token);
    checks.choice("--method", method.toUpperCase(Locale.ROOT), METHODS);
    if (url.isBlank()) {
      checks.add("--url", "is missing, and so is --request-id for a past request");
    } else if (parsedUrl().getHost() == null) {
      checks.add("--url", "'" + url + "' is not of the form http://HOST/PATH");
    }
    for (String part : partList()) {
      if (!PART.matcher(part).matches()) {
        checks.add("--parts", "'" + part + "' is not of the form ID:TOKENS, such as 5c1e07a2:800");
      }
    }
    if (promptTokens < 0 && !partList().isEmpty()) {
      checks.add("--prompt-tokens", "is missing; a prompt with --parts has a length");
    }
    checks.atLeast("--output-tokens", outputTokens, 0);
    return checks;
  }

  private URI parsedUrl() {
    try {
      return new URI(url);
    } catch (URISyntaxException e) {
      return URI.create("");
    }
  }

  private List<String> partList() {
    return Arrays.stream(parts.split(",")).map(String::trim).filter(s -> !s.isEmpty()).toList();
  }

  private ObjectNode query() {
    URI parsed = parsedUrl();
    ObjectNode query = mapper.createObjectNode();
    query.put("method", method.toUpperCase(Locale.ROOT));
    query.put("host", parsed.getHost().toLowerCase(Locale.ROOT));
    query.put("path", parsed.getRawPath().isEmpty() ? "/" : parsed.getRawPath());
    if (!key.isBlank()) {
      query.put("key", key);
    }
    if (deadlineMs >= 0) {
      query.put("deadlineMs", deadlineMs);
    }
    if (promptTokens >= 0) {
      query.put("promptTokens", promptTokens);
      query.put("outputTokens", outputTokens);
      partList().forEach(query.withArray("parts")::add);
    }
    return query;
  }
}
