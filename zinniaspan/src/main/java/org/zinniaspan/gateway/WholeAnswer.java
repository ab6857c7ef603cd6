package org.zinniaspan.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.zinniaspan.request.Outcome;
import org.zinniaspan.stream.ChatCall;
import org.zinniaspan.stream.StreamEvent;

/** An answer in one JSON body. */
final class WholeAnswer {

  private WholeAnswer() {}

  static void write(ChatAnswer answer, ClassicHttpResponse response) {
    StringBuilder text = new StringBuilder();
    try (answer) {
      while (!answer.callerLeft()) {
        StreamEvent event = answer.next();
        if (event instanceof StreamEvent.Token token) {
          text.append(token.text());
        } else {
          end(answer, event, text.toString(), response);
          return;
        }
      }
      Answers.ended(response, new Outcome.Unknown("caller left"), "caller left");
    }
  }

  private static void end(
      ChatAnswer answer, StreamEvent event, String text, ClassicHttpResponse response) {
    if (event instanceof StreamEvent.Finished finished) {
      response.setHeader(ResponseHeaders.OUTCOME, "answered");
      Answers.json(response, body(answer, text, finished.finishReason()));
      answer.delivered();
    } else if (event instanceof StreamEvent.Broken broken) {
      answer.failed(broken.reason());
      Answers.ended(response, new Outcome.Unknown(broken.reason()), broken.reason());
    }
  }

  private static ObjectNode body(ChatAnswer answer, String text, String finishReason) {
    ChatCall call = answer.call();
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
        .put("completion_tokens", answer.tokens())
        .put("total_tokens", call.promptTokens() + answer.tokens());
    return body;
  }
}
