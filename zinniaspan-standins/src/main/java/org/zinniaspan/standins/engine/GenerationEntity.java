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

/** Generates an answer token by token at the pace of the engine, as server-sent events. */
final class GenerationEntity extends AbstractHttpEntity {

  private static final long WAIT_MS = 50;
  private static final byte[] DATA = "data: ".getBytes(StandardCharsets.UTF_8);
  private static final byte[] END = "\n\n".getBytes(StandardCharsets.UTF_8);

  private final Generation generation;
  private final EngineCore core;
  private final BooleanSupplier callerLeft;
  private final ObjectMapper mapper = new ObjectMapper();
  private final Words words;
  private long bytes;

  GenerationEntity(Generation generation, EngineCore core, BooleanSupplier callerLeft) {
    super(ContentType.TEXT_EVENT_STREAM, null, true);
    this.generation = generation;
    this.core = core;
    this.callerLeft = callerLeft;
    this.words = new Words(generation.prompt());
  }

  @Override
  public void writeTo(OutputStream out) throws IOException {
    Sequence sequence = core.submit(generation);
    boolean whole = false;
    try {
      int written = generation.resumeFrom();
      while (written < generation.length()) {
        written = writeTokens(out, written, sequence.awaitMoreThan(written, WAIT_MS));
      }
      event(out, chunk("", "stop"));
      write(out, "[DONE]".getBytes(StandardCharsets.UTF_8));
      whole = true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("engine stops", e);
    } finally {
      core.ended(sequence, whole, bytes);
    }
  }

  private int writeTokens(OutputStream out, int written, int generated) throws IOException {
    if (written == generated && callerLeft.getAsBoolean()) {
      throw new IOException("caller left");
    }
    for (int i = written; i < generated; i++) {
      event(out, chunk(words.token(i), null));
    }
    return generated;
  }

  private ObjectNode chunk(String text, String finishReason) {
    ObjectNode chunk = mapper.createObjectNode();
    chunk.put("object", "chat.completion.chunk").put("model", generation.model());
    ObjectNode choice = chunk.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("delta").put("content", text);
    choice.put("finish_reason", finishReason);
    return chunk;
  }

  private void event(OutputStream out, ObjectNode data) throws IOException {
    write(out, mapper.writeValueAsBytes(data));
  }

  private void write(OutputStream out, byte[] data) throws IOException {
    out.write(DATA);
    out.write(data);
    out.write(END);
    out.flush();
    bytes += DATA.length + data.length + END.length;
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
  public void close() {}
}
