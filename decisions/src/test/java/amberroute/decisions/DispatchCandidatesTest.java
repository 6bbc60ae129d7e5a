package amberroute.decisions;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the bounds by which a selection round orders dispatch queues. */
class DispatchCandidatesTest {
    /** The bound is never above the logarithm, apart from rounding, and at most 0.0009 below it. */
    @Test
    void logLowerBoundStaysCloseBelowTheLogarithm() {
        for (double value = 1; value < 1e300; value *= 1.0003) {
            double bound = DispatchCandidates.logLowerBound(value);
            assertTrue(bound <= Math.log(value) + 1e-10 && bound > Math.log(value) - 0.0009, value + " has " + bound);
        }
    }
}
