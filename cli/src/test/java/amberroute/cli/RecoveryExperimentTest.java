package amberroute.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The short form of the experiment in which destinations come back from outages before a fleet of real senders. */
class RecoveryExperimentTest {
    /** Guards against a fleet that takes a shut destination for a busy one and pushes it over when it is back. */
    @Test
    void destinationsThatComeBackGetNoMoreThanTheirBudget() {
        assertEquals(
                0,
                Main.execute(
                        "rig", "recovery", "--senders", "47", "--seeds", "1", "--from", "10", "--kinds", "REFUSE"));
    }

    /** Guards against signals in series that make senders forget an outage or break a rule for messages beside it. */
    @Test
    void rulesAreKeptUnderSignalsWhileDestinationsComeBack() {
        assertEquals(
                0,
                Main.execute(
                        "rig", "recovery", "--senders", "16", "--seeds", "1", "--from", "102", "--signalled", "5"));
    }

    /** Guards against a trial of each restarted sender in the instant of its start, at destinations that have just come back. */
    @Test
    void sendersThatRestartTogetherStayWithinTheBudget() {
        assertEquals(
                0,
                Main.execute(
                        "rig",
                        "recovery",
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
                        "-1500"));
    }
}
