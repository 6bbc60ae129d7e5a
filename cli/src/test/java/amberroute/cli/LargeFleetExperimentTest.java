package amberroute.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The short form of the rig that measures one daemon among many endpoints. */
class LargeFleetExperimentTest {
    @Test
    void aDaemonNeedsNoMoreThreadsAndLittleMoreMemoryForManyEndpoints() {
        assertEquals(
                0,
                Main.execute(
                        "rig",
                        "wide",
                        "--daemons",
                        "2",
                        "--small",
                        "2",
                        "--destinations",
                        "60",
                        "--seconds",
                        "3",
                        "--rate",
                        "20"));
    }
}
