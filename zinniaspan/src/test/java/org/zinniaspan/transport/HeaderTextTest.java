package org.zinniaspan.transport;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against heads that lose the high byte of characters beyond Latin-1. */
class HeaderTextTest {

  private final Reactor reactor = Reactor.start(() -> {});

  @AfterEach
  void stop() {
    reactor.close();
  }

  private String sent(String value, ExchangeRecorder recorder) {
    FakeSession session = new FakeSession();
    OutboundConnection connection = new OutboundConnection(reactor, idle -> {});
    connection.connected(session.session());
    BasicHttpRequest request = new BasicHttpRequest("GET", "/");
    request.addHeader("X-Name", value);
    connection.send(request, new byte[0], recorder);
    return session.sent();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "org-1", "Café", "Cœur d’Armor", "上海", "🚀"})
  void isReadAsItWasWritten(String text) {
    String head = sent(HeaderText.encode(text), new ExchangeRecorder());
    String value = head.substring(head.indexOf("X-Name:") + "X-Name:".length()).trim();
    assertThat(HeaderText.decode(value)).isEqualTo(text);
    assertThat(HeaderText.isSendable(text)).isTrue();
  }

  @Test
  void isLatin1IfItIsNotUtf8() {
    assertThat(HeaderText.decode("Café")).isEqualTo("Café");
  }

  @ParameterizedTest
  @ValueSource(strings = {"a\nb", "a\r\nX-Other: 1", "a\0", "a\tb", "\177", " a", "a "})
  void isNotSendableIfItsReceiverWouldReadAnother(String text) {
    assertThat(HeaderText.isSendable(text)).isFalse();
  }

  @Test
  void isNotSendableWithAnUnpairedSurrogate() {
    assertThat(HeaderText.isSendable("a" + Character.MIN_HIGH_SURROGATE)).isFalse();
  }

  @ParameterizedTest
  @ValueSource(strings = {"Cœur", "a上X-Other: 1", "不"})
  void isNeverSentWithoutItsHighBytes(String text) {
    ExchangeRecorder recorder = new ExchangeRecorder();
    assertWithMessage(text).that(sent(text, recorder)).isEmpty();
    assertThat(recorder.events).containsExactly("lost");
  }
}
