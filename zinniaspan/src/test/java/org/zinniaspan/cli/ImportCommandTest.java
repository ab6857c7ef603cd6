package org.zinniaspan.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ImportCommandTest {

  @TempDir Path folder;

  private final ByteArrayOutputStream messages = new ByteArrayOutputStream();

  private int run(String register) throws IOException {
    ImportCommand command = new ImportCommand();
    Path file = folder.resolve("register.json");
    Files.writeString(file, register);
    command.register = file.toString();
    command.out = folder.toString();
    return command.run(new PrintStream(messages, true));
  }

  @Test
  void plainKeysAreReplacedByTheirHashes() throws IOException {
    int code =
        run(
            "{\"regions\":[],\"models\":[],\"endpoints\":[],"
                + "\"organisations\":[{\"name\":\"dealer-1\",\"key\":\"secret\"}]}");
    assertThat(code).isEqualTo(Main.EXIT_OK);
    String written = Files.readString(folder.resolve("organisations.json"));
    assertThat(written)
        .contains("2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b");
    assertThat(written).doesNotContain("\"secret\"");
  }

  @Test
  void nothingIsWrittenIfThereAreFindings() throws IOException {
    int code = run("{\"regions\":[{\"name\":\"bad name\"}],\"organisations\":[{\"name\":\"x\"}]}");
    assertThat(code).isEqualTo(Main.EXIT_FINDINGS);
    assertThat(messages.toString()).contains("regions[0].name");
    assertThat(messages.toString()).contains("[0].keySha256");
    assertThat(Files.exists(folder.resolve("inventory.json"))).isFalse();
  }
}
