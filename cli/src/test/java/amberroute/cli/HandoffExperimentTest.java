package amberroute.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The short form of the rig that measures hand-overs. */
class HandoffExperimentTest {
    @Test
    void allThatIsHeldMoves() {
        assertEquals(0, Main.execute("rig", "hand-over", "--messages", "10,300", "--within", "20"));
    }
}
