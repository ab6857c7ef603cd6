package org.zinniaspan.cli;

import static com.google.common.truth.Truth.assertThat;

import com.beust.jcommander.JCommander;
import java.util.Map;
import org.junit.jupiter.api.Test;

class EntrySettingsTest {

  private static EntrySettings parse(Map<String, String> environment, String... flags) {
    EntrySettings settings = new EntrySettings();
    JCommander.newBuilder()
        .defaultProvider(new EnvironmentDefaults(environment))
        .addObject(settings)
        .build()
        .parse(flags);
    return settings;
  }

  @Test
  void environmentVariableSetsFlag() {
    EntrySettings settings = parse(Map.of("ZINNIASPAN_VM_NAME", "vm-1"));
    assertThat(settings.vmName).isEqualTo("vm-1");
  }

  @Test
  void flagTakesPrecedenceOverEnvironment() {
    EntrySettings settings = parse(Map.of("ZINNIASPAN_ZONE", "a"), "--zone", "b");
    assertThat(settings.zone).isEqualTo("b");
  }

  @Test
  void allFindingsAreReportedTogether() {
    EntrySettings settings = parse(Map.of(), "--listen", "nowhere", "--slot-policy", "x");
    String findings = settings.findings().toString();
    assertThat(findings).contains("--vm-name (ZINNIASPAN_VM_NAME)");
    assertThat(findings).contains("'nowhere' is not of the form host:port");
    assertThat(findings).contains("'x' is unknown; valid are: ");
  }
}
