package amberroute.decisions;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PendingMessagesTest {
    /** The bound that choices go by is never above the logarithm, and near enough to be of use. */
    @Test
    void theBoundOnTheLogarithmIsABound() {
        for (double x = 1; x < 1e300; x *= 1.0003) {
            double bound = PendingMessages.logAtLeast(x);
            assertTrue(bound <= Math.log(x) + 1e-10 && bound > Math.log(x) - 0.0009, x + " has " + bound);
        }
    }
}
