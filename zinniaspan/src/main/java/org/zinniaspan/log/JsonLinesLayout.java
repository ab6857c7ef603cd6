package org.zinniaspan.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Formats a log event as one line of JSON with its time, level, thread and message.
 *
 * <p>The fields are written directly, because parsing and interpreting a layout template slows down
 * the process start and each of the first lines.
 */
final class JsonLinesLayout {

  private final JsonFactory json = new JsonFactory();

  /** Returns a line with its end. */
  String format(LogLine logged) {
    StringWriter line = new StringWriter();
    try (JsonGenerator out = json.createGenerator(line)) {
      out.writeStartObject();
      out.writeStringField("time", Instant.ofEpochMilli(logged.timeMs()).toString());
      out.writeStringField("level", logged.level().name());
      out.writeStringField("thread", logged.thread());
      writeMessage(out, logged.message());
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return line.append('\n').toString();
  }

  private static void writeMessage(JsonGenerator out, Message message) throws IOException {
    if (!(message instanceof StringMapMessage map)) {
      out.writeStringField("message", message.getFormattedMessage());
      return;
    }
    out.writeObjectFieldStart("message");
    map.forEach(
        (name, value) -> {
          try {
            out.writeStringField(name, String.valueOf(value));
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
    out.writeEndObject();
  }
}
