package org.zinniaspan.transport;

import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.reactor.IOSession;

/** The session of a connection whose remote side has sent some bytes; it records what is sent. */
final class FakeSession {

  private final StringBuilder sent = new StringBuilder();
  private ByteBuffer input = ByteBuffer.allocate(0);
  private boolean inputEnded;
  private boolean full;

  /** Returns this session for a connection. */
  IOSession session() {
    return (IOSession)
        Proxy.newProxyInstance(
            IOSession.class.getClassLoader(),
            new Class<?>[] {IOSession.class},
            (proxy, method, args) ->
                switch (method.getName()) {
                  case "read" -> read((ByteBuffer) args[0]);
                  case "write" -> write((ByteBuffer) args[0]);
                  case "getEventMask" -> 0;
                  default -> null;
                });
  }

  /** Adds bytes, given as ISO-8859-1, which the next read returns. */
  void receive(String text) {
    input = ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Lets a connection read bytes, given as ISO-8859-1, as often as it takes some of them. */
  void receive(Connection connection, String text) {
    receive(text);
    int before;
    do {
      before = input.remaining();
      connection.inputReady(session(), null);
    } while (input.remaining() < before && input.hasRemaining());
  }

  /** Ends the input after the bytes that were added. */
  void endInput() {
    inputEnded = true;
  }

  /** Lets the session take no more bytes, as of a client that does not read. */
  void fill() {
    full = true;
  }

  /** Lets the session take bytes again, and a connection write those that wait. */
  void drain(Connection connection) {
    full = false;
    connection.outputReady(session());
  }

  /** Returns what was written, decoded as ISO-8859-1. */
  String sent() {
    return sent.toString();
  }

  private int read(ByteBuffer target) {
    if (!input.hasRemaining()) {
      return inputEnded ? -1 : 0;
    }
    int count = Math.min(input.remaining(), target.remaining());
    target.put(input.slice(input.position(), count));
    input.position(input.position() + count);
    return count;
  }

  private int write(ByteBuffer source) {
    if (full) {
      return 0;
    }
    int count = source.remaining();
    sent.append(StandardCharsets.ISO_8859_1.decode(source));
    return count;
  }
}
