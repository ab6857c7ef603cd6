package org.zinniaspan.standins.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;

/** Generates an answer token by token at the pace of the engine, as server-sent events. */
final class GenerationEntity extends AbstractHttpEntity {

  private static final double NANOS_PER_MS = 1_000_000.0;
  private static final int PROBE_PERIOD_TOKENS = 8;

  private final Generation generation;
  private final EngineCore core;
  private final BooleanSupplier callerLeft;
  private final ObjectMapper mapper = new ObjectMapper();

  GenerationEntity(Generation generation, EngineCore core, BooleanSupplier callerLeft) {
    super(ContentType.TEXT_EVENT_STREAM, null, true);
    this.generation = generation;
    this.core = core;
    this.callerLeft = callerLeft;
  }

  @Override
  public void writeTo(OutputStream out) throws IOException {
    if (!core.enter(generation.priority())) {
      throw new IOException("engine stops");
    }
    int index = generation.resumeFrom();
    try {
      double prefillMs =
          core.prefillMs(
              generation.prefixDigest(), generation.prefixTokens(), generation.promptTokens());
      pause(prefillMs);
      for (; index < generation.length(); index++) {
        stopIfCallerLeft(index);
        pause(core.msPerToken());
        core.countToken();
        event(out, chunk(Words.token(generation.prompt(), index), null));
      }
      event(out, chunk("", "stop"));
      write(out, "[DONE]".getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      core.countCancelled(index - generation.resumeFrom());
      throw e;
    } finally {
      core.exit();
    }
  }

  private void stopIfCallerLeft(int index) throws IOException {
    if (index % PROBE_PERIOD_TOKENS == 0 && callerLeft.getAsBoolean()) {
      throw new IOException("caller left");
    }
  }

  private static void pause(double ms) {
    LockSupport.parkNanos((long) (ms * NANOS_PER_MS));
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

  private static void write(OutputStream out, byte[] data) throws IOException {
    out.write("data: ".getBytes(StandardCharsets.UTF_8));
    out.write(data);
    out.write("\n\n".getBytes(StandardCharsets.UTF_8));
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
  public void close() {}
}
