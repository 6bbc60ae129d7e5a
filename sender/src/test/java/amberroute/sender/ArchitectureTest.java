package amberroute.sender;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** The packages of the daemon depend on each other in one direction only; docs/architecture.md shows the same arrows. */
@AnalyzeClasses(packages = "amberroute.sender", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    @ArchTest
    static final ArchRule PACKAGES_DEPEND_ALONG_THE_ARROWS = layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("sender")
            .definedBy("amberroute.sender")
            .layer("lifecycle")
            .definedBy("amberroute.sender.lifecycle..")
            .layer("peer")
            .definedBy("amberroute.sender.peer..")
            .layer("admin")
            .definedBy("amberroute.sender.admin..")
            .layer("discovery")
            .definedBy("amberroute.sender.discovery..")
            .layer("journal")
            .definedBy("amberroute.sender.journal..")
            .layer("upstream")
            .definedBy("amberroute.sender.upstream..")
            .layer("notification")
            .definedBy("amberroute.sender.notification..")
            .layer("client")
            .definedBy("amberroute.sender.client..")
            .layer("config")
            .definedBy("amberroute.sender.config..")
            .layer("decision")
            .definedBy("amberroute.sender.decision..")
            .layer("eventloop")
            .definedBy("amberroute.sender.eventloop..")
            .layer("message")
            .definedBy("amberroute.sender.message..")
            .layer("util")
            .definedBy("amberroute.sender.util..")
            .whereLayer("sender")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("lifecycle")
            .mayOnlyAccessLayers(
                    "admin",
                    "discovery",
                    "journal",
                    "upstream",
                    "notification",
                    "client",
                    "config",
                    "decision",
                    "eventloop",
                    "message",
                    "util")
            .whereLayer("peer")
            .mayOnlyAccessLayers("admin", "journal", "client", "config", "message", "util")
            .whereLayer("admin")
            .mayOnlyAccessLayers("eventloop", "message", "util")
            .whereLayer("discovery")
            .mayOnlyAccessLayers("upstream", "config", "util")
            .whereLayer("journal")
            .mayOnlyAccessLayers("config", "message", "util")
            .whereLayer("upstream")
            .mayOnlyAccessLayers("decision", "eventloop", "message", "util")
            .whereLayer("notification")
            .mayOnlyAccessLayers("message", "util")
            .whereLayer("client")
            .mayOnlyAccessLayers("util")
            .whereLayer("config")
            .mayOnlyAccessLayers("util")
            .whereLayer("decision")
            .mayOnlyAccessLayers("util")
            .whereLayer("eventloop")
            .mayOnlyAccessLayers("util")
            .whereLayer("message")
            .mayNotAccessAnyLayer()
            .whereLayer("util")
            .mayNotAccessAnyLayer()
            .because("each package can then be read and tested with those below it");

    @ArchTest
    static final ArchRule PACKAGES_HAVE_NO_CYCLES =
            slices().matching("amberroute.sender.(*)..").should().beFreeOfCycles();
}
