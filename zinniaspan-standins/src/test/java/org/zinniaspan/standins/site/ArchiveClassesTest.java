package org.zinniaspan.standins.site;

import static com.google.common.truth.Truth.assertThat;

import com.beust.jcommander.JCommander;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.zinniaspan.standins.fleet.LocalFleet;

@Timeout(120)
class ArchiveClassesTest {

  private static final String CLASS_PATH =
      "../zinniaspan/target/zinniaspan-0.1.0-SNAPSHOT.jar:../zinniaspan/target/lib/*";

  /** Classes that the Java VM refuses to archive: older formats, or verified at run time. */
  private static final int MOST_CLASSES_FROM_FILES = 10;

  @TempDir Path directory;

  private LocalSite.Daemon serveFrom(Path archive, LocalSite site) throws IOException {
    List<String> flags = new ArrayList<>(LocalFleet.ENTRY_JVM_FLAGS);
    flags.add("-XX:SharedArchiveFile=" + archive);
    flags.add("-Xlog:class+load=info:stdout");
    site.addEndpoint("i-1", "zone-a", 1);
    site.publish(List.of("key-1"));
    LocalSite.Daemon daemon =
        site.startDaemon(
            "vm-1", "zone-a", new LocalSite.Launch(flags, CLASS_PATH, Optional.empty()));
    LocalSite.awaitReady(daemon);
    SiteCaller caller = new SiteCaller("a", "key-1");
    for (String path : List.of("/unsafe/x", "/chat/x")) {
      assertThat(caller.call(daemon.callers(), "POST", path, "").isWhole()).isTrue();
    }
    return daemon;
  }

  @Test
  void holdsTheClassesOfTheWholePath() throws Exception {
    Path archive = directory.resolve("classes.jsa");
    ArchiveClassesCommand command = new ArchiveClassesCommand();
    JCommander.newBuilder()
        .addObject(command)
        .build()
        .parse(
            "--output",
            archive.toString(),
            "--logs",
            directory.resolve("logs").toString(),
            "--class-path",
            CLASS_PATH);
    assertThat(command.run()).isEqualTo(0);
    try (LocalSite site = new LocalSite(directory.resolve("site"))) {
      LocalSite.Daemon daemon = serveFrom(archive, site);
      List<String> fromFiles =
          Files.readAllLines(daemon.log()).stream()
              .filter(line -> line.contains("source: file:"))
              .toList();
      assertThat(fromFiles.size()).isAtMost(MOST_CLASSES_FROM_FILES);
    }
  }
}
