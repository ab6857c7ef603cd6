package org.zinniaspan;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "org.zinniaspan", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

  private static final String[] DECISION_PACKAGES = {
    "org.zinniaspan.clock..",
    "org.zinniaspan.configuration..",
    "org.zinniaspan.dispatch..",
    "org.zinniaspan.fleet..",
    "org.zinniaspan.forwarding..",
    "org.zinniaspan.inventory..",
    "org.zinniaspan.membership..",
    "org.zinniaspan.placement..",
    "org.zinniaspan.request..",
    "org.zinniaspan.routing..",
    "org.zinniaspan.runner..",
    "org.zinniaspan.stream.."
  };

  @ArchTest
  static final ArchRule decisionPackagesDoNoInputOrOutput =
      noClasses()
          .that()
          .resideInAnyPackage(DECISION_PACKAGES)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.netty..",
              "org.apache.hc..",
              "java.net..",
              "java.nio.channels..",
              "org.zinniaspan.http..",
              "org.zinniaspan.gateway..",
              "org.zinniaspan.admin..",
              "org.zinniaspan.platform..",
              "org.zinniaspan.proxy..",
              "org.zinniaspan.transport..",
              "org.zinniaspan.cli..");

  @ArchTest
  static final ArchRule decisionPackagesUseTheInjectedClock =
      noClasses()
          .that()
          .resideInAnyPackage(DECISION_PACKAGES)
          .and()
          .doNotHaveSimpleName("SystemClock")
          .should()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(System.class, "nanoTime");

  @ArchTest
  static final ArchRule onlyTheCommandLineDependsOnThePlatformAdapter =
      noClasses()
          .that()
          .resideOutsideOfPackages("org.zinniaspan.platform..", "org.zinniaspan.cli..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.zinniaspan.platform..");

  @ArchTest
  static final ArchRule platformAdapterMakesNoDecisions =
      noClasses()
          .that()
          .resideInAPackage("org.zinniaspan.platform..")
          .should()
          .dependOnClassesThat()
          .haveSimpleNameEndingWith("Selector")
          .orShould()
          .dependOnClassesThat()
          .haveSimpleName("AdmissionControl")
          .orShould()
          .dependOnClassesThat()
          .haveSimpleName("Clock");
}
