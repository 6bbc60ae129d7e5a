package amberroute.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The short form of the rig that passes messages by what is held. */
class PendingLoadExperimentTest {
    @Test
    void whatPassesIsDeliveredAndWhatIsHeldStays() {
        assertEquals(0, Main.execute("rig", "held-load", "--held", "20,300", "--messages", "600"));
    }
}
