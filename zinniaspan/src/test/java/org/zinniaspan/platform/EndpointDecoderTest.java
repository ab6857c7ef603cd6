package org.zinniaspan.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.zinniaspan.forwarding.ListedEndpoint;

class EndpointDecoderTest {

  private static final String ENTRY =
      "{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"z\",\"version\":\"v1\","
          + "\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":4,\"born\":77}";

  private static ListedEndpoint decode(String json) throws JsonProcessingException {
    return EndpointDecoder.decode("i-1", new ObjectMapper().readTree(json));
  }

  private static String reason(String json) {
    return assertThrows(IllegalArgumentException.class, () -> decode(json)).getMessage();
  }

  @Test
  void readsAnEntry() throws JsonProcessingException {
    assertThat(decode(ENTRY))
        .isEqualTo(new ListedEndpoint("i-1", "s", "10.128.0.9:8080", "z", "v1", 64, false, 77));
  }

  @Test
  void refusesTextsThatNoHeaderCanCarry() throws JsonProcessingException {
    assertThat(reason(ENTRY.replace("v1", "v\\n1"))).contains("version");
    assertThat(decode(ENTRY.replace("v1", "vα")).softwareVersion()).isEqualTo("vα");
    JsonNode entry = new ObjectMapper().readTree(ENTRY);
    assertThrows(IllegalArgumentException.class, () -> EndpointDecoder.decode("i\r\n1", entry));
  }

  @Test
  void readsDrainingState() throws JsonProcessingException {
    assertThat(decode(ENTRY.replace("ready", "draining")).draining()).isTrue();
  }

  @Test
  void readsAnEntryWithoutVersionAndStart() throws JsonProcessingException {
    ListedEndpoint entry =
        decode(ENTRY.replace("\"version\":\"v1\",", "").replace(",\"born\":77", ""));
    assertThat(entry.softwareVersion()).isEmpty();
    assertThat(entry.startedAtMs()).isEqualTo(0);
  }

  @ParameterizedTest
  @CsvSource({"2500, 2500", "0.5, 1", "600000, 600000"})
  void readsTheTimeForWhichItRemainsCold(String stated, long remainingMs)
      throws JsonProcessingException {
    String json = ENTRY.replace("_ms\":0", "_ms\":" + stated);
    assertThat(decode(json).coldRemainingMs()).hasValue(remainingMs);
  }

  @ParameterizedTest
  @ValueSource(strings = {"-1", "1e30", "600001"})
  void takesImpossibleColdTimesForMissing(String stated) throws JsonProcessingException {
    String json = ENTRY.replace("_ms\":0", "_ms\":" + stated);
    assertThat(decode(json).coldRemainingMs()).isEmpty();
    assertThat(decode(ENTRY.replace("\"cold_remaining_ms\":0,", "")).coldRemainingMs()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource(
      quoteCharacter = '`',
      value = {
        "\"ready\", \"paused\"",
        "\"z\", null",
        "64, \"64\"",
        "\"10.128.0.9:8080\", 9",
        "\"v1\", 1",
        "77, \"77\"",
        "\"cold_remaining_ms\":0, \"cold_remaining_ms\":\"0\"",
      })
  void rejectsFieldsOfAnotherTypeOrValue(String valid, String invalid) {
    assertThat(reason(ENTRY.replace(valid, invalid))).isNotEmpty();
  }

  @Test
  void rejectsMissingFields() {
    assertThat(reason(ENTRY.replace("\"zone\":\"z\",", ""))).isEqualTo("zone is not a text");
    assertThat(reason("[]")).isEqualTo("state is not a text");
    assertThat(reason("null")).isEqualTo("state is not a text");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "0",
        "-3",
        "10001",
        "2147483647",
        "2147483648",
        "4294967297",
        "123456789012345678901234567890",
        "64.0",
        "1e3"
      })
  void rejectsSlotsOutOfBounds(String slots) {
    assertThat(reason(ENTRY.replace("64", slots))).contains("slots");
  }

  @ParameterizedTest
  @ValueSource(strings = {"1e999", "-1", "99999999999999999999", "253402300800000", "1.5"})
  void rejectsStartsOutOfBounds(String born) {
    assertThat(reason(ENTRY.replace("77", born))).containsMatch("born|start");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "example:80",
        "10.0.0.999:80",
        "10.0.0.256:80",
        "10.0.0:80",
        "10.0.0.1.2:80",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:99999",
        "10.0.0.1",
        "10..0.1:80",
        ""
      })
  void rejectsAddressesThatNeedLookupOrAreOutOfBounds(String address) {
    assertThat(reason(ENTRY.replace("10.128.0.9:8080", address))).contains("address");
  }

  @ParameterizedTest
  @ValueSource(strings = {"0.0.0.1:1", "10.0.0.255:65535", "199.249.250.99:80"})
  void readsAddressesAtTheBounds(String address) throws JsonProcessingException {
    assertThat(decode(ENTRY.replace("10.128.0.9:8080", address)).address()).isEqualTo(address);
  }

  @Test
  void rejectsLongTexts() {
    assertThat(reason(ENTRY.replace("v1", "v".repeat(257)))).contains("256");
    assertThat(reason(ENTRY.replace("\"s\"", "\"\""))).contains("empty");
  }
}
