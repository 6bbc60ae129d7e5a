package amberroute.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The short form of the experiment in which destinations come back from outages before a fleet of real senders. */
class RecoveryExperimentTest {
    /** Fails with what the experiment printed, so that a report of the failure tells which rule was broken. */
    private static void assertRulesKept(String... options) {
        List<String> arguments = new ArrayList<>(List.of("rig", "recovery"));
        arguments.addAll(List.of(options));
        PrintStream console = System.out;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        System.setOut(new PrintStream(printed, true, StandardCharsets.UTF_8));
        int exitCode;
        try {
            exitCode = Main.execute(arguments.toArray(String[]::new));
        } finally {
            System.setOut(console);
            console.print(printed.toString(StandardCharsets.UTF_8));
        }
        assertEquals(0, exitCode, printed.toString(StandardCharsets.UTF_8));
    }

    /** Guards against a fleet that takes a shut destination for a busy one and pushes it over when it is back. */
    @Test
    void destinationsThatComeBackGetNoMoreThanTheirBudget() {
        assertRulesKept("--senders", "47", "--seeds", "1", "--from", "10", "--kinds", "REFUSE");
    }

    /** Guards against signals in series that make senders forget an outage or break a rule for messages beside it. */
    @Test
    void rulesAreKeptUnderSignalsWhileDestinationsComeBack() {
        assertRulesKept("--senders", "16", "--seeds", "1", "--from", "102", "--signalled", "5");
    }

    /** Guards against a trial of each restarted sender in the instant of its start, at destinations that have just come back. */
    @Test
    void sendersThatRestartTogetherStayWithinTheBudget() {
        assertRulesKept(
                "--senders",
                "38",
                "--from",
                "9001",
                "--per-second",
                "16",
                "--age-ms",
                "4000",
                "--outage-ms",
                "8000",
                "--restarted",
                "38",
                "--restart-at-ms",
                "-1500");
    }
}
