package amberroute.decisions;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The bound that a selection round orders dispatch queues by. */
class DispatchCandidatesTest {
    /** The bound is never above the logarithm, and close enough to be of use. */
    @Test
    void logLowerBoundStaysCloseBelowTheLogarithm() {
        for (double value = 1; value < 1e300; value *= 1.0003) {
            double bound = DispatchCandidates.logLowerBound(value);
            assertTrue(bound <= Math.log(value) + 1e-10 && bound > Math.log(value) - 0.0009, value + " has " + bound);
        }
    }
}
