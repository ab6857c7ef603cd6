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

/** A chat response as a stream of server-sent events, one for each token. */
final class StreamingChatEntity extends AbstractHttpEntity {

  private static final byte[] DATA_PREFIX = "data: ".getBytes(StandardCharsets.UTF_8);
  private static final byte[] EVENT_END = "\n\n".getBytes(StandardCharsets.UTF_8);
  private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.UTF_8);

  private static final String TEXT_PLACEHOLDER = "zinniaspan-token-text";

  private final ChatResponseReader reader;
  private byte[] beforeText;
  private byte[] afterText;

  StreamingChatEntity(ChatResponseReader reader) {
    super(ContentType.TEXT_EVENT_STREAM, null, true);
    this.reader = reader;
  }

  @Override
  public void writeTo(OutputStream out) throws IOException {
    try (reader) {
      ObjectNode roleDelta = JsonNodeFactory.instance.objectNode();
      roleDelta.put("role", "assistant").put("content", "");
      writeEvent(out, newChunk(roleDelta, null));
      prepareTokenEvent();
      StreamEvent event = reader.next();
      while (event instanceof StreamEvent.Token token) {
        writeToken(out, token);
        event = reader.next();
      }
      if (event instanceof StreamEvent.Finished finished) {
        writeFinish(out, finished);
      } else if (event instanceof StreamEvent.Broken broken) {
        abort(out, broken);
      }
    }
  }

  private void writeToken(OutputStream out, StreamEvent.Token token) throws IOException {
    byte[] text = JsonStringEncoder.getInstance().quoteAsUTF8(token.text());
    byte[] event = new byte[beforeText.length + text.length + afterText.length];
    System.arraycopy(beforeText, 0, event, 0, beforeText.length);
    System.arraycopy(text, 0, event, beforeText.length, text.length);
    System.arraycopy(afterText, 0, event, beforeText.length + text.length, afterText.length);
    out.write(event);
    out.flush();
  }

  /**
   * Serialises a token event once and splits it at the text.
   *
   * <p>Token events of a response differ in their text alone, so that {@link #writeToken} needs to
   * encode only the text.
   */
  private void prepareTokenEvent() {
    ObjectNode delta = JsonNodeFactory.instance.objectNode();
    String event = newChunk(delta.put("content", TEXT_PLACEHOLDER), null).toString();
    int textIndex = event.lastIndexOf(TEXT_PLACEHOLDER);
    beforeText = ("data: " + event.substring(0, textIndex)).getBytes(StandardCharsets.UTF_8);
    afterText =
        (event.substring(textIndex + TEXT_PLACEHOLDER.length()) + "\n\n")
            .getBytes(StandardCharsets.UTF_8);
  }

  private void writeFinish(OutputStream out, StreamEvent.Finished finished) throws IOException {
    writeEvent(out, newChunk(JsonNodeFactory.instance.objectNode(), finished.finishReason()));
    writeData(out, DONE);
    reader.recordDelivery();
  }

  private void abort(OutputStream out, StreamEvent.Broken broken) throws IOException {
    reader.recordFailure(broken.reason());
    ObjectNode error = JsonNodeFactory.instance.objectNode();
    error
        .putObject("error")
        .put("message", "the answer is not complete: " + broken.reason())
        .put("type", "server_error")
        .put("code", "answer_incomplete");
    writeEvent(out, error);
    throw new IOException("response to request " + reader.call().requestId() + " is incomplete");
  }

  private ObjectNode newChunk(ObjectNode delta, String finishReason) {
    ChatCall call = reader.call();
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

  private static void writeEvent(OutputStream out, ObjectNode data) throws IOException {
    writeData(out, ResponseWriter.toBytes(data));
  }

  private static void writeData(OutputStream out, byte[] data) throws IOException {
    out.write(DATA_PREFIX);
    out.write(data);
    out.write(EVENT_END);
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
    throw new UnsupportedOperationException("a streamed response has no input stream; use writeTo");
  }

  @Override
  public void close() {
    reader.close();
  }
}
