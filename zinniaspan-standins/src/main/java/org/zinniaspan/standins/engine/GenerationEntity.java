package org.zinniaspan.standins.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;

/**
 * Response body that streams an answer as server-sent events, one per token, as the engine
 * generates them.
 *
 * <p>If no token comes within 50 ms, it checks whether the caller has closed the connection, and
 * then cancels the answer.
 */
final class GenerationEntity extends AbstractHttpEntity {

  private static final long TOKEN_WAIT_MS = 50;
  private static final byte[] DATA_PREFIX = "data: ".getBytes(StandardCharsets.UTF_8);
  private static final byte[] EVENT_END = "\n\n".getBytes(StandardCharsets.UTF_8);

  private final Generation generation;
  private final EngineCore core;
  private final BooleanSupplier callerDisconnected;
  private final ObjectMapper mapper = new ObjectMapper();
  private final AnswerText answerText;
  private long bytesWritten;

  GenerationEntity(Generation generation, EngineCore core, BooleanSupplier callerDisconnected) {
    super(ContentType.TEXT_EVENT_STREAM, null, true);
    this.generation = generation;
    this.core = core;
    this.callerDisconnected = callerDisconnected;
    this.answerText = new AnswerText(generation.prompt());
  }

  @Override
  public void writeTo(OutputStream out) throws IOException {
    Sequence sequence = core.submit(generation);
    boolean complete = false;
    try {
      int written = generation.resumeFromToken();
      while (written < generation.answerTokens()) {
        written = writeTokens(out, written, sequence.awaitMoreThan(written, TOKEN_WAIT_MS));
      }
      writeEvent(out, newChunk("", "stop"));
      writeData(out, "[DONE]".getBytes(StandardCharsets.UTF_8));
      complete = true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("engine is shutting down", e);
    } finally {
      core.recordEnd(sequence, complete, bytesWritten);
    }
  }

  private int writeTokens(OutputStream out, int written, int available) throws IOException {
    if (written == available && callerDisconnected.getAsBoolean()) {
      throw new IOException("caller closed the connection");
    }
    for (int i = written; i < available; i++) {
      writeEvent(out, newChunk(answerText.token(i), null));
    }
    return available;
  }

  private ObjectNode newChunk(String text, String finishReason) {
    ObjectNode chunk = mapper.createObjectNode();
    chunk.put("object", "chat.completion.chunk").put("model", generation.model());
    ObjectNode choice = chunk.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("delta").put("content", text);
    choice.put("finish_reason", finishReason);
    return chunk;
  }

  private void writeEvent(OutputStream out, ObjectNode data) throws IOException {
    writeData(out, mapper.writeValueAsBytes(data));
  }

  private void writeData(OutputStream out, byte[] data) throws IOException {
    out.write(DATA_PREFIX);
    out.write(data);
    out.write(EVENT_END);
    out.flush();
    bytesWritten += DATA_PREFIX.length + data.length + EVENT_END.length;
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
    throw new UnsupportedOperationException("a streamed answer has no content stream; use writeTo");
  }

  @Override
  public void close() {}
}
