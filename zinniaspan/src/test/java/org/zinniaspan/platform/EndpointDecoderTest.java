package org.zinniaspan.platform;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.zinniaspan.forwarding.ListedEndpoint;

class EndpointDecoderTest {

  private static final String ENTRY =
      "{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"z\",\"version\":\"v1\","
          + "\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":4,\"born\":77}";

  private static Optional<ListedEndpoint> decode(String json) throws JsonProcessingException {
    return EndpointDecoder.decode("i-1", new ObjectMapper().readTree(json));
  }

  @Test
  void readsAnEntry() throws JsonProcessingException {
    assertThat(decode(ENTRY))
        .hasValue(new ListedEndpoint("i-1", "s", "10.128.0.9:8080", "z", "v1", 64, false, 77));
  }

  @Test
  void readsDrainingState() throws JsonProcessingException {
    assertThat(decode(ENTRY.replace("ready", "draining")).orElseThrow().draining()).isTrue();
  }

  @Nested
  class InvalidEntry {

    @Test
    void isIgnoredIfItsStateIsUnknown() throws JsonProcessingException {
      assertThat(decode(ENTRY.replace("ready", "paused"))).isEmpty();
    }

    @Test
    void isIgnoredIfOneFieldIsMissing() throws JsonProcessingException {
      assertThat(decode(ENTRY.replace("\"zone\":\"z\",", ""))).isEmpty();
    }

    @Test
    void isIgnoredIfOneFieldHasAnotherType() throws JsonProcessingException {
      assertThat(decode(ENTRY.replace("64", "\"64\""))).isEmpty();
      assertThat(decode(ENTRY.replace("\"10.128.0.9:8080\"", "9"))).isEmpty();
      assertThat(decode("[]")).isEmpty();
    }

    @Test
    void isIgnoredIfItsAddressIsInvalid() throws JsonProcessingException {
      assertThat(decode(ENTRY.replace("10.128.0.9:8080", "example:80"))).isEmpty();
      assertThat(decode(ENTRY.replace("8080", "99999"))).isEmpty();
    }
  }
}
