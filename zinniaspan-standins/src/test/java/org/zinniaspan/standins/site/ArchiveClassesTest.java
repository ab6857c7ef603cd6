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

/** A daemon started from the written archive loads almost no class from a file. */
@Timeout(120)
class ArchiveClassesTest {

  private static final String CLASS_PATH =
      "../zinniaspan/target/zinniaspan-0.1.0-SNAPSHOT.jar:../zinniaspan/target/lib/*";

  /**
   * Allows for classes that the Java VM can't archive: old class file formats, or verified at run
   * time.
   */
  private static final int MAX_CLASSES_FROM_FILES = 10;

  @TempDir Path directory;

  private LocalSite.DaemonProcess startDaemonWithArchive(Path archive, LocalSite site)
      throws IOException {
    List<String> flags = new ArrayList<>(LocalFleet.ENTRY_JVM_FLAGS);
    flags.add("-XX:SharedArchiveFile=" + archive);
    flags.add("-Xlog:class+load=info:stdout");
    final EndpointStandIn endpoint = site.addEndpoint("i-1", "zone-a", 1);
    site.publishConfiguration(List.of("key-1"));
    LocalSite.awaitReady(site.startDaemon("peer", "zone-a", LocalSite.LaunchOptions.smallVm()));
    LocalSite.DaemonProcess daemon =
        site.startDaemon(
            "vm-1", "zone-a", new LocalSite.LaunchOptions(flags, CLASS_PATH, Optional.empty()));
    LocalSite.awaitReady(daemon);
    SiteClient client = new SiteClient("a", "key-1");
    for (String path : List.of("/unsafe/x", "/chat/x")) {
      assertThat(client.call(daemon.callerAddress(), "POST", path, "").isCompleteSuccess())
          .isTrue();
    }
    client.call(daemon.callerAddress(), "POST", "/chat/x", "Last-Event-Id: 3\r\nResumes: b\r\n");
    endpoint.setCrashingPart(Optional.of("dead"), 200);
    client.call(
        daemon.callerAddress(),
        "POST",
        "/chat/x",
        "X-Zinniaspan-Token-Usage: 30,3\r\nX-Zinniaspan-Prefix-Hash: dead:20,own:10\r\n");
    endpoint.close();
    for (int i = 0; i < 4; i++) {
      client.call(daemon.callerAddress(), "GET", "/safe/x", "");
    }
    return daemon;
  }

  @Test
  void archiveHoldsAllClassesOfTheRequestPath() throws Exception {
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
      LocalSite.DaemonProcess daemon = startDaemonWithArchive(archive, site);
      List<String> fromFiles =
          Files.readAllLines(daemon.logFile()).stream()
              .filter(line -> line.contains("source: file:"))
              .toList();
      assertThat(fromFiles.size()).isAtMost(MAX_CLASSES_FROM_FILES);
    }
  }
}
