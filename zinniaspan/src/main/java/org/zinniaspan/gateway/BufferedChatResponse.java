package org.zinniaspan.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.zinniaspan.request.Outcome;
import org.zinniaspan.stream.ChatCall;
import org.zinniaspan.stream.StreamEvent;

/** Collects all tokens of a chat response and writes them as one JSON body. */
final class BufferedChatResponse {

  private BufferedChatResponse() {}

  /**
   * Reads the events up to the end and writes the response.
   *
   * <p>Stops early if the caller disconnects.
   */
  static void write(ChatResponseReader reader, ClassicHttpResponse response) {
    StringBuilder text = new StringBuilder();
    try (reader) {
      while (!reader.callerLeft()) {
        StreamEvent event = reader.next();
        if (event instanceof StreamEvent.Token token) {
          text.append(token.text());
        } else {
          writeEnd(reader, event, text.toString(), response);
          return;
        }
      }
      ResponseWriter.writeOutcome(response, new Outcome.Unknown("caller left"), "caller left");
    }
  }

  private static void writeEnd(
      ChatResponseReader reader, StreamEvent event, String text, ClassicHttpResponse response) {
    if (event instanceof StreamEvent.Finished finished) {
      response.setHeader(GatewayHeaders.OUTCOME, "answered");
      ResponseWriter.writeJson(response, newBody(reader, text, finished.finishReason()));
      reader.recordDelivery();
    } else if (event instanceof StreamEvent.Broken broken) {
      reader.recordFailure(broken.reason());
      ResponseWriter.writeOutcome(response, new Outcome.Unknown(broken.reason()), broken.reason());
    }
  }

  private static ObjectNode newBody(ChatResponseReader reader, String text, String finishReason) {
    ChatCall call = reader.call();
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("id", "chatcmpl-" + call.requestId())
        .put("object", "chat.completion")
        .put("created", call.arrivedMs() / 1_000)
        .put("model", call.model());
    ObjectNode choice = body.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", text);
    choice.put("finish_reason", finishReason);
    body.putObject("usage")
        .put("prompt_tokens", call.promptTokens())
        .put("completion_tokens", reader.tokens())
        .put("total_tokens", call.promptTokens() + reader.tokens());
    return body;
  }
}
