package org.zinniaspan.gateway;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;
import org.zinniaspan.stream.ChatCall;
import org.zinniaspan.stream.StreamEvent;

/** An answer as server-sent events, one for each token. */
final class StreamedAnswer extends AbstractHttpEntity {

  private static final byte[] DATA = "data: ".getBytes(StandardCharsets.UTF_8);
  private static final byte[] END = "\n\n".getBytes(StandardCharsets.UTF_8);
  private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.UTF_8);

  private static final String TEXT = "zinniaspan-token-text";

  private final ChatAnswer answer;
  private byte[] beforeText;
  private byte[] afterText;

  StreamedAnswer(ChatAnswer answer) {
    super(ContentType.TEXT_EVENT_STREAM, null, true);
    this.answer = answer;
  }

  @Override
  public void writeTo(OutputStream out) throws IOException {
    try (answer) {
      ObjectNode first = JsonNodeFactory.instance.objectNode();
      first.put("role", "assistant").put("content", "");
      event(out, chunk(first, null));
      prepareTokens();
      StreamEvent event = answer.next();
      while (event instanceof StreamEvent.Token token) {
        token(out, token);
        event = answer.next();
      }
      if (event instanceof StreamEvent.Finished finished) {
        finish(out, finished);
      } else if (event instanceof StreamEvent.Broken broken) {
        breakOff(out, broken);
      }
    }
  }

  private void token(OutputStream out, StreamEvent.Token token) throws IOException {
    byte[] text = JsonStringEncoder.getInstance().quoteAsUTF8(token.text());
    byte[] event = new byte[beforeText.length + text.length + afterText.length];
    System.arraycopy(beforeText, 0, event, 0, beforeText.length);
    System.arraycopy(text, 0, event, beforeText.length, text.length);
    System.arraycopy(afterText, 0, event, beforeText.length + text.length, afterText.length);
    out.write(event);
    out.flush();
  }

  /** Splits the event of a token around its text, which is all that differs between tokens. */
  private void prepareTokens() {
    ObjectNode delta = JsonNodeFactory.instance.objectNode();
    String event = chunk(delta.put("content", TEXT), null).toString();
    int at = event.lastIndexOf(TEXT);
    beforeText = ("data: " + event.substring(0, at)).getBytes(StandardCharsets.UTF_8);
    afterText = (event.substring(at + TEXT.length()) + "\n\n").getBytes(StandardCharsets.UTF_8);
  }

  private void finish(OutputStream out, StreamEvent.Finished finished) throws IOException {
    event(out, chunk(JsonNodeFactory.instance.objectNode(), finished.finishReason()));
    frame(out, DONE);
    answer.delivered();
  }

  private void breakOff(OutputStream out, StreamEvent.Broken broken) throws IOException {
    answer.failed(broken.reason());
    ObjectNode error = JsonNodeFactory.instance.objectNode();
    error
        .putObject("error")
        .put("message", "the answer is not complete: " + broken.reason())
        .put("type", "server_error")
        .put("code", "answer_incomplete");
    event(out, error);
    throw new IOException("answer of " + answer.call().requestId() + " broke off");
  }

  private ObjectNode chunk(ObjectNode delta, String finishReason) {
    ChatCall call = answer.call();
    ObjectNode chunk = JsonNodeFactory.instance.objectNode();
    chunk
        .put("id", "chatcmpl-" + call.requestId())
        .put("object", "chat.completion.chunk")
        .put("created", call.arrivedMs() / 1_000)
        .put("model", call.model());
    ObjectNode choice = chunk.putArray("choices").addObject();
    choice.put("index", 0);
    choice.set("delta", delta);
    choice.put("finish_reason", finishReason);
    return chunk;
  }

  private static void event(OutputStream out, ObjectNode data) throws IOException {
    frame(out, Answers.bytes(data));
  }

  private static void frame(OutputStream out, byte[] data) throws IOException {
    out.write(DATA);
    out.write(data);
    out.write(END);
    out.flush();
  }

  @Override
  public boolean isStreaming() {
    return true;
  }

  @Override
  public boolean isRepeatable() {
    return false;
  }

  @Override
  public long getContentLength() {
    return -1;
  }

  @Override
  public InputStream getContent() {
    throw new UnsupportedOperationException("the answer can only be written");
  }

  @Override
  public void close() {
    answer.close();
  }
}
