package org.zinniaspan.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationStoreTest {

  private final ConfigurationStore store = new ConfigurationStore();

  private static Document rules(long revision, String json) {
    return new Document(DocumentName.RULES, revision, json.getBytes(StandardCharsets.UTF_8));
  }

  @Nested
  class Revisions {
    @Test
    void newerIsAdopted() {
      assertThat(store.offer(rules(3, "{}"))).isEqualTo(new AdoptResult.Adopted(3));
      assertThat(store.current().revision(DocumentName.RULES)).isEqualTo(3);
    }

    @Test
    void olderIsNotAdopted() {
      store.offer(rules(3, "{}"));
      assertThat(store.offer(rules(2, "{}"))).isEqualTo(new AdoptResult.NotNewer(2, 3));
    }
  }

  @Nested
  class InvalidDocuments {
    @Test
    void leaveTheOneInForce() {
      store.offer(rules(1, "{}"));
      assertThat(store.offer(rules(2, "{"))).isInstanceOf(AdoptResult.Invalid.class);
      assertThat(store.current().revision(DocumentName.RULES)).isEqualTo(1);
    }

    @Test
    void allFindingsAreReportedTogether() {
      String json =
          "{\"classes\":[{\"name\":\"a\",\"tier\":-1,\"firstTokenTargetMs\":0}],"
              + "\"assign\":[{\"serviceClass\":\"b\"}]}";
      AdoptResult.Invalid invalid = (AdoptResult.Invalid) store.offer(rules(1, json));
      assertThat(invalid.findings().stream().map(finding -> finding.path()).toList())
          .containsExactly(
              "classes[0].tier", "classes[0].firstTokenTargetMs", "assign[0].serviceClass");
    }
  }

  @Nested
  class ExampleConfigurations {
    @ParameterizedTest
    @ValueSource(strings = {"placa-limpa", "heberge-armor"})
    void areValid(String firm) throws IOException {
      for (DocumentName name : DocumentName.values()) {
        Path file = Path.of("..", "config", firm, name.label() + ".json");
        AdoptResult result = store.offer(new Document(name, 1, Files.readAllBytes(file)));
        assertThat(List.of(name, result)).contains(new AdoptResult.Adopted(1));
      }
      assertThat(store.current().isComplete()).isTrue();
    }
  }
}
