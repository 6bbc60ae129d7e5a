package amberroute.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The short form of the soak: real senders under signals in series, with clients that use their connections until the kill. */
class SoakExperimentTest {
    /** Seed 3 has no crowd of idle clients, seed 12 has one. */
    @ParameterizedTest
    @ValueSource(longs = {3, 12})
    void everyRuleIsKeptUnderSignalsInSeries(long seed) {
        assertEquals(0, Main.execute("rig", "soak", "--seeds", "1", "--from", Long.toString(seed), "--seconds", "15"));
    }
}
