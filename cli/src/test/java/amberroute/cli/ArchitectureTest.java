package amberroute.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClass.Predicates;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.core.importer.Location;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * The modules depend on each other in one direction only, and those that decide do no I/O and read no clock.
 *
 * <p>docs/design/modules.md shows the same arrows. The modules {@code simulator} and {@code benchmarks} are not on this class
 * path: no module depends on them, which Maven holds.
 */
@AnalyzeClasses(packages = "amberroute", importOptions = ArchitectureTest.MainClassesOnly.class)
class ArchitectureTest {
    private static final String[] PURE_MODULES = {
        "amberroute.decisions..",
        "amberroute.handoff..",
        "amberroute.replication..",
        "amberroute.membership..",
        "amberroute.quota..",
        "amberroute.overload.."
    };

    /** Leaves out test classes, also those of the sender's test jar. */
    static final class MainClassesOnly implements ImportOption {
        private final ImportOption withoutTests = new ImportOption.DoNotIncludeTests();

        @Override
        public boolean includes(Location location) {
            return withoutTests.includes(location) && !location.contains("-tests.jar");
        }
    }

    @ArchTest
    static final ArchRule MODULES_DEPEND_ALONG_THE_ARROWS = layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("cli")
            .definedBy("amberroute.cli..")
            .layer("sender")
            .definedBy("amberroute.sender..")
            .layer("fleet")
            .definedBy("amberroute.fleet..")
            .layer("testkit")
            .definedBy("amberroute.testkit..")
            .layer("overload")
            .definedBy("amberroute.overload..")
            .layer("quota")
            .definedBy("amberroute.quota..")
            .layer("membership")
            .definedBy("amberroute.membership..")
            .layer("decisions")
            .definedBy("amberroute.decisions..")
            .layer("handoff")
            .definedBy("amberroute.handoff..")
            .layer("replication")
            .definedBy("amberroute.replication..")
            .layer("storage")
            .definedBy("amberroute.storage..")
            .layer("config")
            .definedBy("amberroute.config..")
            .whereLayer("cli")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("sender")
            .mayOnlyAccessLayers(
                    "overload", "quota", "membership", "decisions", "handoff", "replication", "storage", "config")
            .whereLayer("fleet")
            .mayOnlyAccessLayers("config")
            .whereLayer("overload")
            .mayOnlyAccessLayers("quota", "membership")
            .whereLayer("quota")
            .mayOnlyAccessLayers("membership")
            .whereLayer("testkit")
            .mayNotAccessAnyLayer()
            .whereLayer("membership")
            .mayNotAccessAnyLayer()
            .whereLayer("decisions")
            .mayNotAccessAnyLayer()
            .whereLayer("handoff")
            .mayNotAccessAnyLayer()
            .whereLayer("replication")
            .mayNotAccessAnyLayer()
            .whereLayer("storage")
            .mayNotAccessAnyLayer()
            .whereLayer("config")
            .mayNotAccessAnyLayer();

    @ArchTest
    static final ArchRule DECIDING_MODULES_DO_NO_INPUT_OR_OUTPUT = noClasses()
            .that()
            .resideInAnyPackage(PURE_MODULES)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "java.io..",
                    "java.net..",
                    "java.nio.channels..",
                    "java.nio.file..",
                    "io.netty..",
                    "com.google.gson..")
            .because("what they decide is a function of their inputs");

    @ArchTest
    static final ArchRule DECIDING_MODULES_HAVE_NO_THREADS = noClasses()
            .that()
            .resideInAnyPackage(PURE_MODULES)
            .should()
            .dependOnClassesThat(
                    Predicates.resideInAPackage("java.util.concurrent..").or(Predicates.assignableTo(Thread.class)))
            .because("their caller owns the thread");

    @ArchTest
    static final ArchRule DECIDING_MODULES_READ_NO_CLOCK = noClasses()
            .that()
            .resideInAnyPackage(PURE_MODULES)
            .should()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .dependOnClassesThat()
            .resideInAPackage("java.time..")
            .because("time is passed in, so that tests and simulations set it");
}
